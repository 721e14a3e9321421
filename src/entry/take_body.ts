import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ExpiryWatch } from "./expiry_watch.ts";

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
  opts: {
    max: number;
    pauseMs: number;
    deadlineAt: number;
    clock: Clock;
    watch: ExpiryWatch;
  },
): Promise<Collected> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const nextPause = () =>
      Math.min(opts.deadlineAt, opts.clock.now() + opts.pauseMs);
    const finish = (collected: Collected) => {
      opts.watch.remove(expiry);
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
      resolve(collected);
    };
    const expiry = {
      at: nextPause(),
      onExpiry: () => {
        source.pause();
        finish(refused("slow_sender", "the body arrives too slowly"));
      },
    };
    const onData = (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      expiry.at = nextPause();
      if (bytes <= opts.max) return;
      source.pause();
      finish({ kind: "long", prefix: parts });
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
    source.on("data", onData);
    source.on("end", onEnd);
    source.on("close", onClose);
    if (source.destroyed) onClose();
    else opts.watch.add(expiry);
  });
}

/**
 * Reads a short body as a whole, so that it can be sent again; a longer one
 * becomes a stream that can be sent once.
 *
 * @param req - the caller's request
 * @param opts - longest body of the entry, longest body that is kept, both in
 * bytes, longest pause in milliseconds, clock, timers, and the deadline
 * @returns the body, or why it was refused
 */
export async function takeBody(req: CallerRequest, opts: {
  maxBytes: number;
  replayBytes: number;
  pauseMs: number;
  deadlineAt: number;
  clock: Clock;
  watch: ExpiryWatch;
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
      watch: opts.watch,
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
