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
 * Reads the document of a stored row. Fields unknown to this router, which a
 * newer router may have written, are kept rather than refused, so that a change
 * by this router does not drop them. Documents that operators send are checked
 * strictly instead.
 *
 * @param value - the `document` field of a catalogue row
 * @returns the document, or why it is invalid
 */
export function readStoredDocument(
  value: unknown,
): z.ZodSafeParseResult<CatalogueDocument> {
  const strictResult = CatalogueDocument.safeParse(value);
  if (strictResult.success) return strictResult;
  const unknownKeys = strictResult.error.issues.flatMap((issue) =>
    issue.code === "unrecognized_keys"
      ? issue.keys.map((key) => ({ path: issue.path, key }))
      : []
  );
  if (unknownKeys.length === 0) return strictResult;

  const withoutUnknown: unknown = structuredClone(value);
  for (const { path, key } of unknownKeys) {
    const parent = mappingAt(withoutUnknown, path);
    if (parent !== undefined) Reflect.deleteProperty(parent, key);
  }
  const result = CatalogueDocument.safeParse(withoutUnknown);
  if (!result.success) return result;
  for (const { path, key } of unknownKeys) {
    const parent = mappingAt(result.data, path);
    if (parent !== undefined) parent[key] = mappingAt(value, path)?.[key];
  }
  return result;
}
