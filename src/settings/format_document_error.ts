import type { DocumentError } from "./document_error.ts";
import { formatPath } from "./format_path.ts";

/**
 * @param error - the problems of one file
 * @returns one line for each problem, e.g.
 * `a.yaml:3: listen.callers: found 80, allowed is IP:PORT`
 */
export function formatDocumentError(error: DocumentError): string {
  return error.problems.map((problem) => {
    const place = problem.line === undefined
      ? error.file
      : `${error.file}:${problem.line}`;
    const path = problem.path.length === 0
      ? ""
      : `${formatPath(problem.path)}: `;
    return `${place}: ${path}found ${problem.found}, ` +
      `allowed is ${problem.allowed}`;
  }).join("\n");
}
