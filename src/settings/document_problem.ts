/** One problem of a settings file or catalogue document. */
export type DocumentProblem = {
  /** Position within the document, e.g. `["listen", "callers"]`. */
  path: readonly (string | number)[];
  /** Description of the value that the document holds there. */
  found: string;
  /** Description of the values allowed there. */
  allowed: string;
  /** Line of the file, counted from 1, if known. */
  line?: number;
};
