import type { Entry } from "./entry.ts";
import type { Service } from "./service.ts";

/** The entry that a request belongs to, as of one catalogue version. */
export type MatchedEntry = {
  /** Name of the entry. */
  name: string;
  entry: Entry;
  service: Service;
};
