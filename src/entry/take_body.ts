import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { CallerRequest } from "./caller_request.ts";

type Collected =
  | { kind: "whole"; body: Buffer }
  | { kind: "long"; prefix: Buffer[] }
  | { kind: "failed"; refusal: Refusal };

function refused(code: Refusal["code"], message: string): Collected {
  return { kind: "failed", refusal: { code, outcome: "not_run", message } };
}

/** Reads up to `max` bytes; a longer body is left paused. */
function collect(
  source: Readable,
  opts: { max: number; pauseMs: number; clock: Clock; signal: AbortSignal },
): Promise<Collected> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    let readAt = opts.clock.now();
    const ended = new AbortController();
    const finish = (collected: Collected) => {
      if (ended.signal.aborted) return;
      ended.abort();
      source.pause();
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
      opts.signal.removeEventListener("abort", onAbort);
      resolve(collected);
    };
    const onData = (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      readAt = opts.clock.now();
      if (bytes > opts.max) finish({ kind: "long", prefix: parts });
    };
    const onEnd = () => {
      const [only] = parts;
      finish({
        kind: "whole",
        body: parts.length === 1 && only !== undefined
          ? only
          : Buffer.concat(parts),
      });
    };
    const onClose = () =>
      finish(refused("slow_sender", "the body ended before its length"));
    const onAbort = () =>
      finish(refused("slow_sender", "the body did not arrive in time"));
    const watch = async () => {
      while (!ended.signal.aborted) {
        const left = readAt + opts.pauseMs - opts.clock.now();
        if (left <= 0) {
          finish(refused("slow_sender", "the body arrives too slowly"));
        } else await opts.clock.sleep(left, ended.signal);
      }
    };
    source.on("data", onData);
    source.on("end", onEnd);
    source.on("close", onClose);
    opts.signal.addEventListener("abort", onAbort, { once: true });
    if (opts.signal.aborted) onAbort();
    void watch();
  });
}

/**
 * Reads a short body as a whole, so that it can be sent again; a longer one
 * becomes a stream that can be sent once.
 *
 * @param req - the caller's request
 * @param opts - longest body of the entry, longest body that is kept, both in
 * bytes, longest pause in milliseconds, clock, and the end of the request
 * @returns the body, or why it was refused
 */
export async function takeBody(req: CallerRequest, opts: {
  maxBytes: number;
  replayBytes: number;
  pauseMs: number;
  clock: Clock;
  signal: AbortSignal;
}): Promise<Result<Buffer | CallerBodyStream | undefined, Refusal>> {
  const source = req.body;
  if (source === undefined) return ok(undefined);
  const tooLarge: Refusal = {
    code: "body_too_large",
    outcome: "not_run",
    message: `the body is longer than ${opts.maxBytes} bytes`,
    data: { maxBodyBytes: opts.maxBytes },
  };
  if ((req.contentLength ?? 0) > opts.maxBytes) return err(tooLarge);
  const stream = (prefix: Buffer[], onStart: () => void) =>
    new CallerBodyStream({
      source,
      prefix,
      limit: opts.maxBytes,
      pauseMs: opts.pauseMs,
      clock: opts.clock,
      onStart,
    });
  if ((req.contentLength ?? 0) > opts.replayBytes) {
    return ok(stream([], req.askForBody));
  }
  req.askForBody();
  const max = Math.min(opts.replayBytes, opts.maxBytes);
  const collected = await collect(source, { ...opts, max });
  switch (collected.kind) {
    case "whole":
      return ok(collected.body);
    case "long":
      if (max === opts.maxBytes) return err(tooLarge);
      return ok(stream(collected.prefix, () => undefined));
    case "failed":
      return err(collected.refusal);
  }
}
