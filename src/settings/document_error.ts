import type { DocumentProblem } from "./document_problem.ts";

/** Every problem that makes a file unusable. */
export type DocumentError = {
  /** Name of the file as the operator gave it. */
  file: string;
  problems: DocumentProblem[];
};
