/** One fault of a settings file or catalogue document. */
export type DocumentProblem = {
  /** Position within the document, e.g. `["listen", "callers"]`. */
  path: readonly (string | number)[];
  /** What the document holds there, in words. */
  found: string;
  /** What it may hold there, in words. */
  allowed: string;
  /** Line of the file, counted from 1, when it is known. */
  line?: number;
};
