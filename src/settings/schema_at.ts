import { z } from "zod";

/** Removes wrappers that do not affect which keys are allowed. */
function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
  let inner = schema;
  while (
    inner instanceof z.ZodOptional || inner instanceof z.ZodDefault ||
    inner instanceof z.ZodPrefault || inner instanceof z.ZodNullable ||
    inner instanceof z.ZodReadonly
  ) {
    inner = inner.def.innerType;
  }
  return inner;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Selects the variant of a discriminated union that matches the value. */
function selectVariant(
  schema: z.core.$ZodType,
  value: unknown,
): z.core.$ZodType {
  const outer = unwrap(schema);
  if (!(outer instanceof z.ZodDiscriminatedUnion) || !isRecord(value)) {
    return outer;
  }
  const name = outer.def.discriminator;
  return outer.options.find((option) =>
    option instanceof z.ZodObject &&
    z.safeParse(option.shape[name] as z.core.$ZodType, value[name]).success
  ) ?? outer;
}

/**
 * Finds the part of a schema that applies at a path of a document.
 *
 * @param schema - schema of the whole document
 * @param document - the document, which selects variants of unions
 * @param path - keys and list positions from the root
 * @returns the schema without optional and default wrappers, or undefined if
 * the document's schema has no such path
 */
export function schemaAt(
  schema: z.core.$ZodType,
  document: unknown,
  path: readonly PropertyKey[],
): z.core.$ZodType | undefined {
  let value = document;
  let current: z.core.$ZodType | undefined = selectVariant(schema, value);
  for (const step of path) {
    value = isRecord(value) || Array.isArray(value)
      ? (value as Record<PropertyKey, unknown>)[step]
      : undefined;
    if (current instanceof z.ZodObject) {
      current = Object.hasOwn(current.shape, step)
        ? current.shape[String(step)] as z.core.$ZodType
        : undefined;
    } else if (current instanceof z.ZodRecord) {
      current = current.def.valueType;
    } else if (current instanceof z.ZodArray) {
      current = current.def.element;
    } else {
      return undefined;
    }
    if (current === undefined) return undefined;
    current = selectVariant(current, value);
  }
  return current;
}
