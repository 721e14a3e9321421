import { isDeepStrictEqual } from "node:util";
import type { CatalogueChange } from "./catalogue_change.ts";
import type { CatalogueDocument } from "./catalogue_document.ts";

type Mapping = Record<string, unknown>;

function isMapping(value: unknown): value is Mapping {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Reports added and removed records whole, changed ones field by field. */
function diffMappings(
  before: Mapping,
  after: Mapping,
  parentPath: string[],
): CatalogueChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.sort().flatMap((name): CatalogueChange[] => {
    const path = [...parentPath, name];
    const prev = Object.hasOwn(before, name) ? before[name] : undefined;
    const next = Object.hasOwn(after, name) ? after[name] : undefined;
    if (isDeepStrictEqual(prev, next)) return [];
    if (prev === undefined) return [{ kind: "added", path, after: next }];
    if (next === undefined) {
      return [{ kind: "removed", path, before: prev }];
    }
    return isMapping(prev) && isMapping(next)
      ? diffMappings(prev, next, path)
      : [{ kind: "changed", path, before: prev, after: next }];
  });
}

/** Compares lists of names taken out of service as sets; order is ignored. */
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
 * @returns what was added, removed and changed, by path; empty if the documents
 * are equivalent
 */
export function diffCatalogues(
  before: CatalogueDocument,
  after: CatalogueDocument,
): CatalogueChange[] {
  const { out: outBefore, ...recordsBefore } = before;
  const { out: outAfter, ...recordsAfter } = after;
  return [
    ...diffMappings(recordsBefore, recordsAfter, []),
    ...diffNames(
      outBefore.failureDomains,
      outAfter.failureDomains,
      ["out", "failureDomains"],
    ),
    ...diffNames(outBefore.vms, outAfter.vms, ["out", "vms"]),
  ];
}
