import { isDeepStrictEqual } from "node:util";
import type { RoutingConfig } from "../direct/routing_config.ts";
import { routeLabel } from "./route_label.ts";

type Entry = Readonly<Record<string, unknown>>;

/** Values of these fields identify clients and are not shown. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(["keyDigests"]);

/**
 * Lists what differs between two configurations. API keys are counted and not
 * shown.
 *
 * @param before - the configuration in force
 * @param after - the configuration to be sent
 * @returns a line for each added, removed or changed entry
 */
export function compareConfigs(
  before: RoutingConfig,
  after: RoutingConfig,
): string[] {
  return [
    ...compareEntries(
      byLabel(before.routes, routeLabel),
      byLabel(after.routes, routeLabel),
    ),
    ...compareEntries(
      byLabel(before.services, ({ name }) => `service ${name}`),
      byLabel(after.services, ({ name }) => `service ${name}`),
    ),
    ...compareTenantLists(before.tenants, after.tenants),
    ...compareEntries(
      byLabel(before.tenants ?? [], ({ name }) => `tenant ${name}`),
      byLabel(after.tenants ?? [], ({ name }) => `tenant ${name}`),
    ),
    ...compareEntries(
      new Map([["limits", before.requests]]),
      new Map([["limits", after.requests]]),
    ),
  ];
}

/** The first entry counts, as in the router. */
function byLabel<T extends Entry>(
  entries: readonly T[],
  labelOf: (entry: T) => string,
): Map<string, T> {
  const found = new Map<string, T>();
  for (const entry of entries) {
    const label = labelOf(entry);
    if (!found.has(label)) found.set(label, entry);
  }
  return found;
}

function compareTenantLists(
  before: RoutingConfig["tenants"],
  after: RoutingConfig["tenants"],
): string[] {
  if ((before === undefined) === (after === undefined)) return [];
  return after === undefined
    ? ["tenants: requests need no API key any more"]
    : ["tenants: requests of routes that are not public need an API key"];
}

function compareEntries(
  before: ReadonlyMap<string, Entry>,
  after: ReadonlyMap<string, Entry>,
): string[] {
  const lines: string[] = [];
  for (const label of before.keys()) {
    if (!after.has(label)) lines.push(`${label}: removed`);
  }
  for (const [label, entry] of after) {
    const known = before.get(label);
    if (known === undefined) lines.push(`${label}: added`);
    else {
      for (const change of changedFields(known, entry)) {
        lines.push(`${label}: ${change}`);
      }
    }
  }
  return lines;
}

function changedFields(before: Entry, after: Entry): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap((name) => {
    const [old, next] = [before[name], after[name]];
    if (isDeepStrictEqual(old, next)) return [];
    if (HIDDEN_FIELDS.has(name)) return [describeLists(name, old, next)];
    return [`${name} ${JSON.stringify(old)} -> ${JSON.stringify(next)}`];
  });
}

function describeLists(name: string, before: unknown, after: unknown): string {
  const [old, next] = [before, after].map((list) =>
    new Set<unknown>(Array.isArray(list) ? list : [])
  );
  const missingIn = (one?: Set<unknown>, other?: Set<unknown>) =>
    [...one ?? []].filter((item) => other?.has(item) !== true).length;
  return `${name}: ${missingIn(next, old)} added, ${
    missingIn(old, next)
  } removed`;
}
