import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import type { Refusal } from "../base/refusal.ts";
import { CallerBodyStream } from "./caller_body_stream.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ExpiryTimer } from "./expiry_timer.ts";

type Collected =
  | { kind: "whole"; body: Buffer }
  | { kind: "long"; prefix: Buffer[] }
  | { kind: "failed"; refusal: Refusal };

function refused(code: Refusal["code"], message: string): Collected {
  return { kind: "failed", refusal: { code, outcome: "not_run", message } };
}

/** Reads up to `maxBytes` bytes; a longer body is paused. */
function collectBody(
  source: Readable,
  opts: {
    maxBytes: number;
    maxPauseMs: number;
    deadlineAt: number;
    clock: Clock;
    timer: ExpiryTimer;
  },
): Promise<Collected> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const nextExpiry = () =>
      Math.min(opts.deadlineAt, opts.clock.now() + opts.maxPauseMs);
    const finish = (collected: Collected) => {
      opts.timer.remove(expiry);
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
      resolve(collected);
    };
    const expiry = {
      at: nextExpiry(),
      onExpiry: () => {
        source.pause();
        finish(refused("slow_sender", "the body arrives too slowly"));
      },
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      expiry.at = nextExpiry();
      if (bytes <= opts.maxBytes) return;
      source.pause();
      finish({ kind: "long", prefix: chunks });
    };
    const onEnd = () => {
      const [single] = chunks;
      finish({
        kind: "whole",
        body: chunks.length === 1 && single !== undefined
          ? single
          : Buffer.concat(chunks),
      });
    };
    const onClose = () =>
      finish(refused("slow_sender", "the body ended before its length"));
    source.on("data", onData);
    source.on("end", onEnd);
    source.on("close", onClose);
    if (source.destroyed) onClose();
    else opts.timer.add(expiry);
  });
}

/**
 * Buffers a short body, so that it can be sent again; a longer one becomes a
 * stream that can be sent once.
 *
 * @param req - the caller's request
 * @param opts - longest body that the entry allows and longest body that is
 * buffered, both in bytes, longest pause between chunks in milliseconds, the
 * deadline, clock, and the timer of time limits
 * @returns the body, undefined if there is none, or the refusal
 */
export async function readCallerBody(req: CallerRequest, opts: {
  maxBytes: number;
  replayBytes: number;
  maxPauseMs: number;
  deadlineAt: number;
  clock: Clock;
  timer: ExpiryTimer;
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
  const createStream = (prefix: Buffer[], onStart: () => void) =>
    new CallerBodyStream({
      source,
      prefix,
      maxBytes: opts.maxBytes,
      maxPauseMs: opts.maxPauseMs,
      clock: opts.clock,
      timer: opts.timer,
      onStart,
    });
  if ((req.contentLength ?? 0) > opts.replayBytes) {
    return ok(createStream([], req.sendContinueIfExpected));
  }
  req.sendContinueIfExpected();
  const maxBufferedBytes = Math.min(opts.replayBytes, opts.maxBytes);
  const collected = await collectBody(source, {
    ...opts,
    maxBytes: maxBufferedBytes,
  });
  switch (collected.kind) {
    case "whole":
      return ok(collected.body);
    case "long":
      if (maxBufferedBytes === opts.maxBytes) return err(tooLarge);
      return ok(createStream(collected.prefix, () => undefined));
    case "failed":
      return err(collected.refusal);
  }
}
