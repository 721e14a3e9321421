import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { describeAllowed } from "./describe_allowed.ts";
import { describeValue } from "./describe_value.ts";
import type { DocumentProblem } from "./document_problem.ts";

type ParsedDocument = {
  /** The parsed document. */
  value: unknown;
  /** Number that the document's `schema` field must have. */
  schemaNumber: number;
  /**
   * Keys whose values are never shown, since they may contain a credential by
   * mistake.
   */
  secretKeys?: readonly string[];
};

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  let value = document;
  for (const step of path) {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, step)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

/**
 * Checks the schema number first. If it is another, the document's further
 * problems follow from that and are not reported.
 */
function checkSchemaNumber(
  document: unknown,
  supported: number,
): DocumentProblem | undefined {
  const found = valueAt(document, ["schema"]);
  if (typeof found !== "number" || found === supported) return undefined;
  const age = found > supported ? "newer" : "older";
  return {
    path: ["schema"],
    found: `${found}, ${age} than this program supports`,
    allowed: String(supported),
  };
}

/**
 * Checks a parsed document.
 *
 * @param parsed - the document and the schema number that it must have
 * @param schema - schema that the document must match
 * @returns the document with defaults filled in, or every problem
 */
export function checkDocument<Schema extends z.ZodType>(
  parsed: ParsedDocument,
  schema: Schema,
): Result<z.infer<Schema>, DocumentProblem[]> {
  const document = parsed.value;
  const schemaProblem = checkSchemaNumber(document, parsed.schemaNumber);
  if (schemaProblem !== undefined) return err([schemaProblem]);
  const checked = schema.safeParse(document);
  if (checked.success) return ok(checked.data);

  const toProblem = (
    path: readonly PropertyKey[],
    found: string,
    issue: z.core.$ZodIssue,
  ): DocumentProblem => ({
    path: path.map((step) => typeof step === "symbol" ? String(step) : step),
    found,
    allowed: describeAllowed(issue, schema, document),
  });
  return err(checked.error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        toProblem([...issue.path, key], "an unknown key", issue)
      );
    }
    const key = issue.path.at(-1);
    if (issue.code === "invalid_key") {
      return [toProblem(issue.path, `the key ${describeValue(key)}`, issue)];
    }
    const actualValue = valueAt(document, issue.path);
    const isSecret = typeof key === "string" && actualValue !== undefined &&
      parsed.secretKeys?.includes(key) === true;
    const found = isSecret ? "another value" : describeValue(actualValue);
    return [toProblem(issue.path, found, issue)];
  }));
}
