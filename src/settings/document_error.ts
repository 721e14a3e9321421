import type { DocumentProblem } from "./document_problem.ts";

/** Why a file cannot be used; lists every problem that was found. */
export type DocumentError = {
  /** Name of the file as the operator gave it. */
  file: string;
  problems: DocumentProblem[];
};
