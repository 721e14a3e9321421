import { isDeepStrictEqual } from "node:util";
import type { CatalogueChange } from "./catalogue_change.ts";
import type { CatalogueDocument } from "./catalogue_document.ts";

type Mapping = Record<string, unknown>;

function isMapping(value: unknown): value is Mapping {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Added and removed records are shown whole, changed ones field by field. */
function diffMappings(
  before: Mapping,
  after: Mapping,
  path: string[],
): CatalogueChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.sort().flatMap((name): CatalogueChange[] => {
    const here = [...path, name];
    const old = Object.hasOwn(before, name) ? before[name] : undefined;
    const now = Object.hasOwn(after, name) ? after[name] : undefined;
    if (isDeepStrictEqual(old, now)) return [];
    if (old === undefined) return [{ kind: "added", path: here, after: now }];
    if (now === undefined) {
      return [{ kind: "removed", path: here, before: old }];
    }
    return isMapping(old) && isMapping(now)
      ? diffMappings(old, now, here)
      : [{ kind: "changed", path: here, before: old, after: now }];
  });
}

/** The lists of taken-out names are sets: their order has no meaning. */
function diffNames(
  before: readonly string[],
  after: readonly string[],
  path: string[],
): CatalogueChange[] {
  const added = after.filter((name) => !before.includes(name));
  const removed = before.filter((name) => !after.includes(name));
  return [
    ...added.map((name) => ({
      kind: "added" as const,
      path: [...path, name],
      after: name,
    })),
    ...removed.map((name) => ({
      kind: "removed" as const,
      path: [...path, name],
      before: name,
    })),
  ];
}

/**
 * @param before - the earlier document
 * @param after - the later document
 * @returns what was added, removed and changed, by path; empty when both mean
 * the same
 */
export function diffCatalogues(
  before: CatalogueDocument,
  after: CatalogueDocument,
): CatalogueChange[] {
  const { out: outBefore, ...restBefore } = before;
  const { out: outAfter, ...restAfter } = after;
  return [
    ...diffMappings(restBefore, restAfter, []),
    ...diffNames(
      outBefore.failureDomains,
      outAfter.failureDomains,
      ["out", "failureDomains"],
    ),
    ...diffNames(outBefore.vms, outAfter.vms, ["out", "vms"]),
  ];
}
