import type { Readable } from "node:stream";

/** A caller's request whose headers have been read. */
export type CallerRequest = {
  /** Chosen by this router. */
  requestId: string;
  method: string;
  /** Path and query. */
  target: string;
  host: string | undefined;
  /** Lower-case names; without hop-by-hop headers and `fescuerun-*`. */
  headers: Record<string, string | string[]>;
  /** Undefined if the request has no body; not flowing yet. */
  body: Readable | undefined;
  /** Undefined for a chunked body. */
  contentLength: number | undefined;
  /** Called before the body is read, e.g. to send 100 Continue. */
  askForBody: () => void;
  /** Told the service of the request once its entry is known. */
  onMatched?: (service: string) => void;
};
