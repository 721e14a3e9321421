import { err, ok, type Result } from "neverthrow";
import { isNode, LineCounter, parseDocument as parseYaml } from "yaml";
import type { z } from "zod";
import { checkDocument } from "./check_document.ts";
import type { DocumentError } from "./document_error.ts";
import type { DocumentProblem } from "./document_problem.ts";

type Source = {
  /** Name of the file, for error messages. */
  file: string;
  /** YAML, which includes JSON. */
  text: string;
  /** Number that the document's `schema` field must have. */
  schemaNumber: number;
  /** Keys whose values may hold a credential by mistake: never shown. */
  secretKeys?: readonly string[];
};

/** Aliases can expand without bound, which the library refuses by throwing. */
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
    // Nesting of several thousand levels exceeds the parser's stack.
    return err(thrown instanceof Error ? thrown : new Error(String(thrown)));
  }
}

/**
 * Reads a YAML or JSON document and checks it.
 *
 * @param source - the text and where it is from
 * @param schema - what the document must match
 * @returns the checked document with defaults filled in, or every problem
 */
export function parseDocument<Schema extends z.ZodType>(
  source: Source,
  schema: Schema,
): Result<z.infer<Schema>, DocumentError> {
  const fail = (problems: DocumentProblem[]) =>
    err({ file: source.file, problems });
  const lines = new LineCounter();
  const syntax = (found: string, offset?: number): DocumentProblem => ({
    path: [],
    found,
    allowed: "one valid YAML or JSON document",
    ...(offset === undefined ? {} : { line: lines.linePos(offset).line }),
  });

  const parsed = parseText(source.text, lines);
  if (parsed.isErr()) return fail([syntax(parsed.error.message)]);
  const yaml = parsed.value;
  const faults = [...yaml.errors, ...yaml.warnings];
  if (faults.length > 0) {
    return fail(faults.map((one) => syntax(one.message, one.pos[0])));
  }
  const value = toValue(yaml);
  if (value.isErr()) return fail([syntax(value.error.message)]);

  const lineOf = (path: DocumentProblem["path"]): { line?: number } => {
    for (let length = path.length; length > 0; length -= 1) {
      const node: unknown = yaml.getIn(path.slice(0, length), true);
      const offset = isNode(node) ? node.range?.[0] : undefined;
      if (offset !== undefined) return { line: lines.linePos(offset).line };
    }
    return {};
  };
  return checkDocument({ ...source, value: value.value }, schema)
    .mapErr((problems) => ({
      file: source.file,
      problems: problems.map((one) => ({ ...one, ...lineOf(one.path) })),
    }));
}
