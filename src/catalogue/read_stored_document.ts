import type { z } from "zod";
import { CatalogueDocument } from "./catalogue_document.ts";

type Mapping = Record<PropertyKey, unknown>;

function mappingAt(
  root: unknown,
  path: readonly PropertyKey[],
): Mapping | undefined {
  let value = root;
  for (const step of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Mapping)[step];
  }
  return typeof value === "object" && value !== null
    ? value as Mapping
    : undefined;
}

/**
 * Reads the document of a stored record. A newer router may have written fields
 * that this one does not know: they are kept, not refused, so that a change by
 * this router does not drop them. Documents of operators are checked strictly
 * instead.
 *
 * @param value - the `document` field of a catalogue row
 * @returns the document, or what makes it unusable
 */
export function readStoredDocument(
  value: unknown,
): z.ZodSafeParseResult<CatalogueDocument> {
  const first = CatalogueDocument.safeParse(value);
  if (first.success) return first;
  const unknownKeys = first.error.issues.flatMap((issue) =>
    issue.code === "unrecognized_keys"
      ? issue.keys.map((key) => ({ path: issue.path, key }))
      : []
  );
  if (unknownKeys.length === 0) return first;

  const known: unknown = structuredClone(value);
  for (const { path, key } of unknownKeys) {
    const parent = mappingAt(known, path);
    if (parent !== undefined) Reflect.deleteProperty(parent, key);
  }
  const second = CatalogueDocument.safeParse(known);
  if (!second.success) return second;
  for (const { path, key } of unknownKeys) {
    const parent = mappingAt(second.data, path);
    if (parent !== undefined) parent[key] = mappingAt(value, path)?.[key];
  }
  return second;
}
