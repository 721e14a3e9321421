import { z } from "zod";
import { schemaAt } from "./schema_at.ts";

const TYPE_WORDS: Readonly<Record<string, string>> = {
  string: "a string",
  number: "a number",
  int: "an integer",
  boolean: "true or false",
  array: "a list",
  object: "a mapping",
  record: "a mapping",
};

function listOf(values: readonly unknown[]): string {
  const shown = values.map((value) => JSON.stringify(value));
  return shown.length === 1 ? String(shown[0]) : `one of ${shown.join(", ")}`;
}

function describeBound(
  issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig,
): string {
  const small = issue.code === "too_small";
  const bound = Number(small ? issue.minimum : issue.maximum);
  if (issue.origin === "string") {
    return `${small ? "at least" : "at most"} ${bound} characters`;
  }
  if (issue.origin === "array") {
    return `a list of ${small ? "at least" : "at most"} ${bound}`;
  }
  if (issue.inclusive === false) {
    return `a number ${small ? "above" : "below"} ${bound}`;
  }
  return `a number of ${small ? "at least" : "at most"} ${bound}`;
}

/** Messages of our schemas read "must be …"; the caller writes "allowed is". */
function withoutMust(message: string): string {
  return message.replace(/^must be /, "");
}

/**
 * @param issue - one fault that a schema found
 * @param schema - schema of the whole document
 * @param document - the document
 * @returns what the document may hold at the place of the fault, in words
 */
export function describeAllowed(
  issue: z.core.$ZodIssue,
  schema: z.core.$ZodType,
  document: unknown,
): string {
  switch (issue.code) {
    case "invalid_type":
      return TYPE_WORDS[issue.expected] ?? `a value of type ${issue.expected}`;
    case "too_small":
    case "too_big":
      return describeBound(issue);
    case "invalid_value":
      return listOf(issue.values);
    case "invalid_union":
      return "options" in issue && Array.isArray(issue.options)
        ? listOf(issue.options)
        : issue.message;
    case "unrecognized_keys": {
      const parent = schemaAt(schema, document, issue.path);
      return parent instanceof z.ZodObject
        ? listOf(Object.keys(parent.shape))
        : "no other key";
    }
    case "invalid_key":
      return `a key of ${
        issue.issues.map((one) => withoutMust(one.message)).join(", ")
      }`;
    case "invalid_format":
      if (issue.format === "url") return "a URL such as http://10.0.0.2:9000";
      if (issue.format === "starts_with" && "prefix" in issue) {
        return `a string that starts with ${JSON.stringify(issue.prefix)}`;
      }
      return withoutMust(issue.message);
    case "custom":
    case "invalid_element":
    case "not_multiple_of":
      return withoutMust(issue.message);
  }
}
