import type { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import type { ByteBudget } from "../limits/byte_budget.ts";
import { ConnectionRejected } from "../upstreams/connection_rejected.ts";
import type { UpstreamConnection } from "../upstreams/upstream_connection.ts";
import { UpstreamExchange } from "../upstreams/upstream_exchange.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallerCall } from "./caller_call.ts";
import type { Upstream } from "./upstream.ts";
import { UpstreamLeaving } from "./upstream_leaving.ts";
import type { WireProtocol } from "./wire_protocol.ts";

type Options = {
  call: CallerCall;
  upstream: Upstream;
  idempotent: boolean;
  protocol: WireProtocol;
  clock: Clock;
  /** Time at which the attempt is aborted, in monotonic milliseconds. */
  deadlineAt: number;
  /** Maximum number of connections from this VM to the upstream. */
  maxConnections: number;
  /**
   * Connections on which the request has already been sent, which are not used
   * again. An answer names the request, not the attempt, so a late copy of the
   * answer to an earlier attempt would be taken for the answer to this one.
   */
  sentOn: ReadonlySet<UpstreamConnection>;
  /**
   * Called when a connection is established, before the first byte is written.
   *
   * @returns whether the upstream may still get requests
   */
  mayStillSend: () => boolean;
  /**
   * Called before the first byte is written.
   *
   * @param connection - the connection on which the request is sent
   */
  onSent: (connection: UpstreamConnection) => void;
  /** Memory for the long answers that are being read at the same time. */
  answerMemory: ByteBudget;
};

/**
 * A round trip between regions takes 40 ms; a lost SYN is retransmitted only
 * after 1 s.
 */
const CONNECT_TIMEOUT_MS = 350;
/** Answers are buffered in memory; an attempt with a larger answer fails. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** The part of each answer that does not count as long. */
const SHORT_ANSWER_BYTES = 256 * 1024;

/**
 * Sends a request to one upstream and buffers the whole answer, so that no part
 * of a truncated or malformed answer reaches the caller.
 *
 * @param options - the request, the upstream and the limits
 * @param signal - aborts the attempt
 * @returns the answer, or why there is none
 */
export async function attempt(
  options: Options,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const { call, upstream, clock, deadlineAt, protocol } = options;
  const connection = upstream.connections.acquire(
    options.maxConnections,
    options,
  );
  const reused = connection.established;
  let sent = false;
  let reusable = true;
  const exchange = new UpstreamExchange({
    connection,
    request: call,
    headers: protocol.upstreamHeaders(
      call,
      upstream.entry.id,
      deadlineAt - clock.now(),
    ),
    beforeSend: () => {
      if (!options.mayStillSend()) return new UpstreamLeaving();
      sent = true;
      options.onSent(connection);
      return undefined;
    },
    onEnded: (err) => {
      if (err !== undefined) upstream.connections.discard(connection, err);
      else if (reusable) upstream.connections.release(connection);
      else {
        upstream.connections.discard(
          connection,
          new Error("the answer names no request"),
        );
      }
    },
  });
  const ended = new AbortController();
  const abortExchange = () => exchange.abort(new Error("attempt aborted"));
  signal.addEventListener("abort", abortExchange, { once: true });
  if (signal.aborted) abortExchange();
  void clock.sleep(CONNECT_TIMEOUT_MS, ended.signal).then(() => {
    if (sent || ended.signal.aborted) return;
    upstream.failures.onUnreachable(clock.now());
    exchange.abort(new Error("no connection in time"));
  });
  void clock.sleep(deadlineAt - clock.now(), ended.signal).then(() => {
    if (!ended.signal.aborted) exchange.abort(new Error("deadline exceeded"));
  });
  upstream.load.onSent();
  upstream.warmUp.onSent(clock.now());
  try {
    return await readAnswer(exchange, options, {
      reused,
      onUnnamed: () => {
        reusable = false;
      },
    });
  } finally {
    upstream.load.onEnded();
    signal.removeEventListener("abort", abortExchange);
    ended.abort();
  }
}

async function readAnswer(
  exchange: UpstreamExchange,
  { call, upstream, protocol, clock, answerMemory }: Options,
  { reused, onUnnamed }: { reused: boolean; onUnnamed: () => void },
): Promise<AttemptResult> {
  const head = await exchange.head;
  switch (head.kind) {
    case "not_sent":
      return {
        kind: "not_sent",
        reason: head.err.message,
        cause: notSentCause(head.err),
      };
    case "unanswered":
      return { kind: "lost", reason: head.err.message };
    case "answered": {
      const { status, headers, body } = head;
      const answer = protocol.readAnswer(
        call,
        upstream.entry.id,
        status,
        headers,
      );
      const unnamed = answer.identity === "absent";
      // A late second copy of an answer without a name would be taken for that
      // to the next request on the connection.
      if (unnamed) onUnnamed();
      const refusal = answer.notExecuted && !answer.otherInstance;
      if (refusal && answer.identity === "same") upstream.onNamedRefusal();
      // Upstreams name the request in each answer, except refusals of some. The
      // first answer on a connection is no late copy of an earlier one.
      const late = unnamed && reused &&
        (!answer.notExecuted || upstream.namesRefusals);
      if (
        late || answer.identity === "other" || (unnamed && answer.signed)
      ) {
        const err = new Error("the answer belongs to another request");
        exchange.abort(err);
        return { kind: "lost", reason: err.message };
      }
      // The expected upstream no longer has this address. Until its registry
      // entry is removed, it counts as unreachable and is tried only after a
      // backoff.
      if (answer.otherInstance) upstream.failures.onUnreachable(clock.now());
      if (answer.leaving) upstream.announceLeave();
      if (answer.pauseMs !== undefined) upstream.pause(answer.pauseMs);
      if (answer.load !== undefined) {
        upstream.load.onReport(answer.load, clock.now());
      }
      const read = await readBody(body, answerMemory);
      if (answer.notExecuted) return { kind: "rejected", status, answer };
      if (read instanceof Error) return { kind: "lost", reason: read.message };
      const framed = headers["content-length"] !== undefined ||
        headers["transfer-encoding"] !== undefined;
      return { kind: "answered", status, headers, body: read, framed, answer };
    }
  }
}

function notSentCause(
  err: Error,
): Extract<AttemptResult, { kind: "not_sent" }>["cause"] {
  if (err instanceof ConnectionRejected) return "connection_rejected";
  return err instanceof UpstreamLeaving ? "leaving" : "no_connection";
}

async function readBody(
  body: Readable,
  memory: ByteBudget,
): Promise<Uint8Array | Error> {
  const chunks: Buffer[] = [];
  let size = 0;
  let taken = 0;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) {
        return new Error(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
      }
      const missing = size - SHORT_ANSWER_BYTES - taken;
      if (missing > 0) {
        if (!memory.take(missing)) {
          return new Error("no memory is left for long answers");
        }
        taken += missing;
      }
      chunks.push(chunk);
    }
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err));
  } finally {
    memory.give(taken);
  }
  return Buffer.concat(chunks, size);
}
