import { HOP_HEADER } from "../links/hop_header.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";

/**
 * @param job - a request for an upstream
 * @param term - epoch of the term in which it is sent
 * @param runMs - how long it may run, in milliseconds
 * @returns the headers that the upstream gets
 */
export function jobHeaders(
  job: DispatchJob,
  term: { epoch: number },
  runMs: number,
): Record<string, string | string[]> {
  const headers = endToEndHeaders(job.req.headers);
  // undici sends no request that expects an interim response.
  delete headers.expect;
  headers[HOP_HEADER.requestId] = job.req.requestId;
  headers[HOP_HEADER.epoch] = String(term.epoch);
  headers[HOP_HEADER.deadlineMs] = String(runMs);
  if (job.unit !== undefined) headers[HOP_HEADER.unit] = job.unit;
  return headers;
}
