import type { Context } from "hono";
import { stream } from "hono/streaming";
import { awaitAcceptance } from "../catalogue/await_acceptance.ts";
import type { AdminContext } from "./admin_context.ts";
import type { ProgressEvent } from "./progress_event.ts";

/**
 * Answers with one JSON line per progress event until a version is in force on
 * every router, or 10 s have passed.
 *
 * @param c - the request's context
 * @param ctx - members and clock
 * @param outcome - the version, and whether this request committed it
 * @returns the streamed answer
 */
export function streamProgress(
  c: Context,
  ctx: AdminContext,
  outcome: { version: number; changed: boolean },
): Response {
  const { version, changed } = outcome;
  c.header("content-type", "application/x-ndjson");
  return stream(c, async (out) => {
    const disconnected = new AbortController();
    out.onAbort(() => disconnected.abort());
    const events = awaitAcceptance({
      version,
      members: ctx.catalogueMembers,
      clock: ctx.clock,
      signal: AbortSignal.any([ctx.signal, disconnected.signal]),
    });
    for await (const event of events) {
      const shown: ProgressEvent = event.kind === "committed" && !changed
        ? { kind: "unchanged", version }
        : event;
      await out.write(`${JSON.stringify(shown)}\n`);
    }
  });
}
