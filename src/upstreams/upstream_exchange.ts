import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { UpstreamConnection } from "./upstream_connection.ts";

type Head =
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Readable;
  }
  /** No byte was handed to the socket. */
  | { kind: "not_sent"; err: Error }
  /** The upstream may have started the request. */
  | { kind: "unanswered"; err: Error };

type Options = {
  connection: UpstreamConnection;
  request: Pick<DispatchRequest, "method" | "target" | "body">;
  headers: Record<string, string | string[]>;
  /**
   * Called when the connection stands and before the first byte is written.
   *
   * @returns why the request must not be sent any more, or undefined
   */
  beforeSend: () => Error | undefined;
  /** @param err - why the answer is not complete, or undefined if it is */
  onEnded: (err: Error | undefined) => void;
};

const FIRST_FINAL_STATUS = 200;

/** One request on one connection, and its answer. */
export class UpstreamExchange {
  /** Resolves with the head of the answer, or with the failure. */
  readonly head: Promise<Head>;
  readonly #options: Options;
  #decideHead: (head: Head) => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #body: Readable | undefined;
  /** The whole answer has arrived. */
  #complete = false;
  #ended = false;

  /**
   * @param options - the request and the connection, used by no other
   */
  constructor(options: Options) {
    this.#options = options;
    this.head = new Promise((resolve) => {
      this.#decideHead = resolve;
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
   * Gives the request up. Its connection is destroyed, which is how an
   * HTTP/1.1 upstream learns of it.
   *
   * @param err - the reason
   */
  abandon(err: Error): void {
    if (this.#complete || this.#ended) return;
    this.#controller?.abort(err);
    this.#fail(err);
    this.#options.connection.destroy();
  }

  #onStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const refusal = this.#ended
      ? new Error("given up before it was sent")
      : this.#options.beforeSend();
    if (refusal === undefined) this.#sent = true;
    else controller.abort(refusal);
  }

  #onHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS || this.#ended) return;
    const body = new Readable({
      read: () => controller.resume(),
      destroy: (err, callback) => {
        // The reader went away before the end of the answer.
        this.abandon(err ?? new Error("the answer is no longer read"));
        callback(err);
      },
    });
    // A body that nobody reads any more must not end the process.
    body.on("error", () => undefined);
    this.#body = body;
    this.#decideHead({ kind: "answered", status, headers, body });
  }

  #onComplete(): void {
    if (this.#options.connection.reset) {
      this.#fail(new Error("the connection was reset within the answer"));
      return;
    }
    this.#complete = true;
    this.#body?.push(null);
    // undici closes a connection that cannot be used again only after this
    // call, and no other request may be given to it meanwhile.
    setImmediate(() => this.#end(undefined));
  }

  #fail(err: Error): void {
    if (this.#complete || this.#ended) return;
    this.#decideHead({ kind: this.#sent ? "unanswered" : "not_sent", err });
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
 * A stream is handed over as an iterator, which does not touch it until the
 * connection stands: undici destroys the streams of requests that were never
 * sent, and those must stay usable for another attempt.
 */
function sendableBody(
  body: DispatchRequest["body"],
): Uint8Array | Readable | null {
  if (body === undefined) return null;
  if (!(body instanceof Readable)) return body;
  const chunks = async function* (): AsyncGenerator<Uint8Array> {
    for await (const chunk of body as AsyncIterable<Uint8Array>) yield chunk;
  };
  // undici's types leave out the iterables that it documents and accepts.
  return chunks() as unknown as Readable;
}
