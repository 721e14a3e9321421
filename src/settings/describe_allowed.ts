import { z } from "zod";
import { schemaAt } from "./schema_at.ts";

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  string: "a string",
  number: "a number",
  int: "an integer",
  boolean: "true or false",
  array: "a list",
  object: "a mapping",
  record: "a mapping",
};

function describeChoices(values: readonly unknown[]): string {
  const shown = values.map((value) => JSON.stringify(value));
  return shown.length === 1 ? String(shown[0]) : `one of ${shown.join(", ")}`;
}

function describeBound(
  issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig,
): string {
  const isMinimum = issue.code === "too_small";
  const bound = Number(isMinimum ? issue.minimum : issue.maximum);
  if (issue.origin === "string") {
    return `${isMinimum ? "at least" : "at most"} ${bound} characters`;
  }
  if (issue.origin === "array") {
    return `a list of ${isMinimum ? "at least" : "at most"} ${bound}`;
  }
  if (issue.inclusive === false) {
    return `a number ${isMinimum ? "above" : "below"} ${bound}`;
  }
  return `a number of ${isMinimum ? "at least" : "at most"} ${bound}`;
}

/** Removes "must be" from a schema's message; the caller adds "allowed is". */
function withoutMust(message: string): string {
  return message.replace(/^must be /, "");
}

/**
 * @param issue - one violation that a schema reported
 * @param schema - schema of the whole document
 * @param document - the document
 * @returns the values allowed at the place of the violation, in words
 */
export function describeAllowed(
  issue: z.core.$ZodIssue,
  schema: z.core.$ZodType,
  document: unknown,
): string {
  switch (issue.code) {
    case "invalid_type":
      return TYPE_DESCRIPTIONS[issue.expected] ??
        `a value of type ${issue.expected}`;
    case "too_small":
    case "too_big":
      return describeBound(issue);
    case "invalid_value":
      return describeChoices(issue.values);
    case "invalid_union":
      return "options" in issue && Array.isArray(issue.options)
        ? describeChoices(issue.options)
        : issue.message;
    case "unrecognized_keys": {
      const parent = schemaAt(schema, document, issue.path);
      return parent instanceof z.ZodObject
        ? describeChoices(Object.keys(parent.shape))
        : "no other key";
    }
    case "invalid_key":
      return `a key of ${
        issue.issues.map((keyIssue) => withoutMust(keyIssue.message)).join(", ")
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
