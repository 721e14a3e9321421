import { HOP_HEADER } from "../links/hop_header.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";

/**
 * Builds the headers of a request to an upstream.
 *
 * @param job - a request for an upstream
 * @param term - dispatch term in which the request is sent
 * @param runMs - how long the request may run, in milliseconds
 * @returns the headers to send to the upstream
 */
export function jobHeaders(
  job: DispatchJob,
  term: { epoch: number },
  runMs: number,
): Record<string, string | string[]> {
  const headers = endToEndHeaders(job.req.headers);
  // undici rejects requests with an `expect` header.
  delete headers.expect;
  headers[HOP_HEADER.requestId] = job.req.requestId;
  headers[HOP_HEADER.epoch] = String(term.epoch);
  headers[HOP_HEADER.deadlineMs] = String(runMs);
  if (job.unit !== undefined) headers[HOP_HEADER.unit] = job.unit;
  return headers;
}
