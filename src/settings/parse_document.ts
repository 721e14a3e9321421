import { err, ok, type Result } from "neverthrow";
import { isNode, LineCounter, parseDocument as parseYaml } from "yaml";
import type { z } from "zod";
import { checkDocument } from "./check_document.ts";
import type { DocumentError } from "./document_error.ts";
import type { DocumentProblem } from "./document_problem.ts";

type Source = {
  /** Name of the file, for error messages. */
  file: string;
  /** YAML text; JSON is a subset of YAML. */
  text: string;
  /** Number that the document's `schema` field must have. */
  schemaNumber: number;
  /**
   * Keys whose values are never shown, since they may contain a credential by
   * mistake.
   */
  secretKeys?: readonly string[];
};

/** The library throws on aliases that would expand without bound. */
function toValue(parsed: ReturnType<typeof parseYaml>): Result<unknown, Error> {
  try {
    return ok(parsed.toJS());
  } catch (thrown) {
    return err(thrown instanceof Error ? thrown : new Error(String(thrown)));
  }
}

function parseText(
  text: string,
  lines: LineCounter,
): Result<ReturnType<typeof parseYaml>, Error> {
  try {
    return ok(parseYaml(text, {
      lineCounter: lines,
      prettyErrors: false,
      logLevel: "silent",
    }));
  } catch (thrown) {
    // Several thousand levels of nesting overflow the parser's stack.
    return err(thrown instanceof Error ? thrown : new Error(String(thrown)));
  }
}

/**
 * Reads a YAML or JSON document and checks it.
 *
 * @param source - the text, the name of its file and the expected schema number
 * @param schema - schema that the document must match
 * @returns the checked document with defaults filled in, or every problem
 */
export function parseDocument<Schema extends z.ZodType>(
  source: Source,
  schema: Schema,
): Result<z.infer<Schema>, DocumentError> {
  const fail = (problems: DocumentProblem[]) =>
    err({ file: source.file, problems });
  const lines = new LineCounter();
  const syntaxProblem = (found: string, offset?: number): DocumentProblem => ({
    path: [],
    found,
    allowed: "one valid YAML or JSON document",
    ...(offset === undefined ? {} : { line: lines.linePos(offset).line }),
  });

  const parsed = parseText(source.text, lines);
  if (parsed.isErr()) return fail([syntaxProblem(parsed.error.message)]);
  const yamlDocument = parsed.value;
  const yamlIssues = [...yamlDocument.errors, ...yamlDocument.warnings];
  if (yamlIssues.length > 0) {
    return fail(
      yamlIssues.map((issue) => syntaxProblem(issue.message, issue.pos[0])),
    );
  }
  const value = toValue(yamlDocument);
  if (value.isErr()) return fail([syntaxProblem(value.error.message)]);

  const lineOf = (path: DocumentProblem["path"]): { line?: number } => {
    for (let length = path.length; length > 0; length -= 1) {
      const node: unknown = yamlDocument.getIn(path.slice(0, length), true);
      const offset = isNode(node) ? node.range?.[0] : undefined;
      if (offset !== undefined) return { line: lines.linePos(offset).line };
    }
    return {};
  };
  return checkDocument({ ...source, value: value.value }, schema)
    .mapErr((problems) => ({
      file: source.file,
      problems: problems.map((problem) => ({
        ...problem,
        ...lineOf(problem.path),
      })),
    }));
}
