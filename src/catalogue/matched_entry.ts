import type { Entry } from "./entry.ts";
import type { Service } from "./service.ts";

/** The entry that a request matches in one catalogue version. */
export type MatchedEntry = {
  /** Name of the entry. */
  name: string;
  entry: Entry;
  service: Service;
};
