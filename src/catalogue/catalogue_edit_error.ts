import type { DocumentProblem } from "../settings/document_problem.ts";

/** Why a catalogue change failed, or why its outcome is unknown. */
export type CatalogueEditError =
  /** Another change was committed first. */
  | {
    kind: "conflict";
    /** Version, author and time of the change that was committed. */
    version: number;
    author: string;
    at: string;
  }
  | { kind: "invalid"; problems: DocumentProblem[] }
  /** The table service failed before anything was changed. */
  | { kind: "unavailable"; message: string }
  /** The answer was lost and the outcome could not be read in time. */
  | { kind: "unknown"; version: number; message: string }
  /** The stored catalogue has another schema or is damaged. */
  | { kind: "unreadable"; message: string };
