import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { isHttpStatus } from "../base/is_http_status.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { UpstreamConnection } from "./upstream_connection.ts";

type Head =
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Readable;
  }
  /** No byte was written to the socket. */
  | { kind: "not_sent"; err: Error }
  /** The upstream may have started the request. */
  | { kind: "unanswered"; err: Error };

type Options = {
  connection: UpstreamConnection;
  request: Pick<DispatchRequest, "method" | "target" | "body">;
  /** By name; those of a map are sent in its order. */
  headers:
    | Record<string, string | string[]>
    | ReadonlyMap<string, string | string[]>;
  /**
   * Called when the connection is established, before the first byte is
   * written.
   *
   * @returns why the request must no longer be sent, or undefined
   */
  beforeSend: () => Error | undefined;
  /** @param err - why the answer is not complete, or undefined if it is */
  onEnded: (err: Error | undefined) => void;
};

const FIRST_FINAL_STATUS = 200;

/** Sends one request on one connection and receives its answer. */
export class UpstreamExchange {
  /** Resolves with the head of the answer, or with the failure. */
  readonly head: Promise<Head>;
  readonly #options: Options;
  #resolveHead: (head: Head) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #body: Readable | undefined;
  /** The whole answer has arrived. */
  #complete = false;
  #ended = false;

  /**
   * @param options - the request, and a connection that no other request uses
   */
  constructor(options: Options) {
    this.#options = options;
    this.head = new Promise((resolve) => {
      this.#resolveHead = resolve;
    });
    const { connection, request, headers } = options;
    try {
      connection.send({
        method: request.method,
        path: request.target,
        headers,
        body: sendableBody(request.body),
      }, {
        onRequestStart: (controller) => this.#onStart(controller),
        onResponseStart: (controller, status, answerHeaders) =>
          this.#onHead(controller, status, answerHeaders),
        onResponseData: (controller, chunk) => {
          if (this.#body?.push(chunk) === false) controller.pause();
        },
        onResponseEnd: () => this.#onComplete(),
        onResponseError: (_controller, err) => this.#fail(err),
      });
    } catch (err) {
      this.#fail(err instanceof Error ? err : new Error(String(err)));
    }
  }

  /**
   * Aborts the request. Destroys its connection, because HTTP/1.1 has no other
   * way to notify the upstream.
   *
   * @param err - the reason
   */
  abort(err: Error): void {
    if (this.#complete || this.#ended) return;
    this.#controller?.abort(err);
    this.#fail(err);
    this.#options.connection.destroy();
  }

  #onStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const refusal = this.#ended
      ? new Error("request aborted before it was sent")
      : this.#options.beforeSend();
    if (refusal === undefined) this.#sent = true;
    else controller.abort(refusal);
  }

  #onHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.#ended) return;
    if (!isHttpStatus(status)) {
      this.abort(new Error(`the answer has the invalid status ${status}`));
      return;
    }
    if (status < FIRST_FINAL_STATUS) return;
    const body = new Readable({
      read: () => controller.resume(),
      destroy: (err, callback) => {
        // The reader closed the body before the end of the answer.
        this.abort(err ?? new Error("the reader closed the response body"));
        callback(err);
      },
    });
    // Without a listener, an error of an unread body would end the process.
    body.on("error", () => undefined);
    this.#body = body;
    this.#resolveHead({ kind: "answered", status, headers, body });
  }

  #onComplete(): void {
    if (this.#options.connection.reset) {
      this.#fail(new Error("the connection was reset within the answer"));
      return;
    }
    this.#complete = true;
    this.#body?.push(null);
    // undici closes a connection that cannot be reused only after this call;
    // the connection must not get another request before that.
    setImmediate(() => this.#end(undefined));
  }

  #fail(err: Error): void {
    if (this.#complete || this.#ended) return;
    this.#resolveHead({ kind: this.#sent ? "unanswered" : "not_sent", err });
    this.#end(err);
    this.#body?.destroy(err);
  }

  #end(err: Error | undefined): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.onEnded(err);
  }
}

/**
 * Wraps a stream in an iterator, which reads nothing until the connection is
 * established. undici destroys the streams of requests that were never sent,
 * and these must stay usable for another attempt.
 */
function sendableBody(
  body: DispatchRequest["body"],
): Uint8Array | Readable | null {
  if (body === undefined) return null;
  if (!(body instanceof Readable)) return body;
  const chunks = async function* (): AsyncGenerator<Uint8Array> {
    for await (const chunk of body as AsyncIterable<Uint8Array>) yield chunk;
  };
  // undici accepts and documents iterables, but its types omit them.
  return chunks() as unknown as Readable;
}
