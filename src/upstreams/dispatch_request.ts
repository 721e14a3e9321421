import type { Readable } from "node:stream";
import type { Entry } from "../catalogue/entry.ts";

/** A caller's request on its way to the dispatcher of one upstream. */
export type DispatchRequest = {
  requestId: string;
  /** Name of the catalogue entry. */
  entry: string;
  class: Entry["class"];
  service: string;
  upstream: string;
  /** Digest of the key; undefined for services without keys. */
  digest: string | undefined;
  idempotent: boolean;
  checksGrants: boolean;
  /** Revision of the assignment row that the entry router used. */
  rowRevision: number;
  /** Deadline of the request on this router's clock, in milliseconds. */
  deadlineAt: number;
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  /** Lower-case names; hop-by-hop headers are already removed. */
  headers: Record<string, string | string[]>;
  /** A buffer can be sent more than once; a stream can be read only once. */
  body: Uint8Array | Readable | undefined;
};
