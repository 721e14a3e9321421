import type { DocumentProblem } from "../settings/document_problem.ts";

/** Why a catalogue change was not made, or why that is not known. */
export type EditError =
  /** Another change came first. */
  | {
    kind: "conflict";
    /** Version and author that won, and when. */
    version: number;
    author: string;
    at: string;
  }
  | { kind: "invalid"; problems: DocumentProblem[] }
  /** Nothing was changed. */
  | { kind: "unavailable"; message: string }
  /** The answer was lost and could not be found out in time. */
  | { kind: "unknown"; version: number; message: string }
  /** The stored catalogue is of another schema or damaged. */
  | { kind: "unreadable"; message: string };
