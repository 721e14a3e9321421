import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { refuseUnparsableRequest } from "../entry/refuse_unparsable_request.ts";
import type { ClientBudget } from "../limits/client_budget.ts";
import type { ClientKind } from "../limits/client_kind.ts";
import { BlockScanner } from "./block_scanner.ts";

/** A connection without a request: socket, parser and listeners. */
const CONNECTION_BYTES = 16 * 1024;
/** A request without its head: message objects, promises and signals. */
const REQUEST_BYTES = 8 * 1024;
/** A header line: its strings and the entries of four dictionaries. */
const LINE_BYTES = 400;
/** Each byte of a head is kept as received, in lower case and as sent on. */
const HEAD_BYTE_FACTOR = 3;
/**
 * Part of a body in chunks that is parsed at once. Requests that follow the
 * body in the same part are parsed with it.
 */
const MAX_CHUNKED_PART_BYTES = 4096;
/** What a client may send after its connection was refused. */
const MAX_DISCARDED_BYTES = 256 * 1024;

type Options = {
  budget: ClientBudget;
  kind: ClientKind;
  /** Called when the first request's head is complete. */
  onFirstRequest: (connection: ClientConnection) => void;
  /** Calls back in a later turn of the event loop. */
  schedule: (deliver: () => void) => void;
};

type Readable = {
  push: (chunk: Buffer | null) => boolean;
  _read: (size: number) => void;
};

/**
 * Passes the bytes of a connection to the HTTP parser of Node.js, one request
 * at a time: the next head is parsed when the response before it has been
 * taken by the kernel. Counts what the connection holds.
 */
export class ClientConnection {
  readonly socket: Socket;
  readonly #opts: Options;
  readonly #push: Readable["push"];
  readonly #read: Readable["_read"];
  readonly #scanner = new BlockScanner();
  readonly #endListeners = new Set<() => void>();
  /** Bytes that have been received and not parsed, from `#offset` on. */
  #pending: Buffer | undefined;
  #offset = 0;
  /** Whether the client has sent its end, after the pending bytes. */
  #endPending = false;
  #delivering = false;
  #deliveryScheduled = false;
  #current: IncomingMessage | undefined;
  #bodyRemaining = 0;
  #inFlight = 0;
  #served = false;
  /** Part of a head has been parsed. */
  #inHead = false;
  #refused = false;
  #discarded = 0;
  /** Bytes taken from the budget for the current request. */
  #charged = 0;
  /** Bytes taken from the budget for `#pending`. */
  #chargedPending = 0;
  #opened = false;
  #closed = false;
  // Of the last check: what the client had taken, and since when.
  #progress = -1;
  #stalledSince = 0;

  /**
   * @param socket - connection that the HTTP server has accepted
   * @param opts - the budget and callbacks
   */
  constructor(socket: Socket, opts: Options) {
    this.socket = socket;
    this.#opts = opts;
    const readable = socket as unknown as Readable;
    this.#push = readable.push.bind(socket);
    this.#read = readable._read.bind(socket);
    readable.push = (chunk) => this.#onBytes(chunk);
    readable._read = (size) => this.#onRead(size);
    // The HTTP server reads the handle itself until there is a listener.
    const noop = () => undefined;
    socket.on("data", noop).off("data", noop);
    socket.once("end", () => {
      for (const listener of this.#endListeners) listener();
    });
    socket.once("close", () => this.#onClose());
  }

  /**
   * Takes the memory of the connection itself; must be called first.
   *
   * @returns whether it was available
   */
  open(): boolean {
    this.#opened = this.#take(CONNECTION_BYTES);
    return this.#opened;
  }

  /** Closes the connection and gives its memory back at once. */
  destroy(): void {
    this.socket.destroy();
    this.#onClose();
  }

  /** @returns whether no request is in flight or being received */
  get idle(): boolean {
    return this.#inFlight === 0 && !this.#inHead && !this.#inBody &&
      this.#pending === undefined;
  }

  /**
   * @param listener - called when the client sends its end; one socket listener
   * serves all requests of the connection
   */
  addEndListener(listener: () => void): void {
    this.#endListeners.add(listener);
  }

  /** @param listener - listener that is no longer needed */
  removeEndListener(listener: () => void): void {
    this.#endListeners.delete(listener);
  }

  /**
   * @param req - request that the parser has emitted
   * @param res - its response
   */
  onRequest(req: IncomingMessage, res: ServerResponse): void {
    if (!this.#served) {
      this.#served = true;
      this.#opts.onFirstRequest(this);
    }
    this.#inFlight++;
    this.#inHead = false;
    this.#current = req;
    // Infinite for a body in chunks, 0 without a body.
    this.#bodyRemaining = req.headers["transfer-encoding"] === undefined
      ? Number(req.headers["content-length"] ?? 0)
      : Infinity;
    res.once("close", this.#onResponseClosed);
  }

  /**
   * Takes memory for a response, which is given back when the client has taken
   * the response.
   *
   * @param bytes - length of the response
   * @returns whether it was available
   */
  hold(bytes: number): boolean {
    if (!this.#take(bytes)) return false;
    this.#charged += bytes;
    return true;
  }

  /**
   * Checks whether the connection makes progress. To be called periodically.
   *
   * @param now - current time in monotonic milliseconds
   * @returns since when the client has neither taken a waiting response nor
   * completed a head, in monotonic milliseconds; undefined if nothing waits
   */
  stalledSince(now: number): number | undefined {
    const { socket } = this;
    const unread = socket.writableLength > 0 || socket.writableEnded;
    if (!unread && !this.#inHead) {
      this.#progress = -1;
      return undefined;
    }
    // A slow head makes no progress, whatever arrives of it.
    const progress = unread
      ? socket.bytesWritten - writeQueueSize(socket)
      : Number.MAX_SAFE_INTEGER;
    if (progress !== this.#progress) {
      this.#progress = progress;
      this.#stalledSince = now;
    }
    return this.#stalledSince;
  }

  /** @returns whether the client has responses that it did not read */
  get unread(): boolean {
    return this.socket.writableLength > 0 || this.socket.writableEnded;
  }

  get #inBody(): boolean {
    return this.#current !== undefined && !this.#current.complete;
  }

  readonly #onResponseClosed = (): void => {
    this.#inFlight--;
    if (this.#inFlight > 0) return;
    if (!this.#inBody) this.#current = undefined;
    this.#release();
    if (this.#pending !== undefined) this.#scheduleDelivery();
  };

  /** Overrides `push` of the socket. */
  #onBytes(chunk: Buffer | null): boolean {
    if (chunk === null) {
      if (this.#pending === undefined) return this.#push(null);
      this.#endPending = true;
      return false;
    }
    if (this.#refused || this.socket.writableEnded) return this.#discard(chunk);
    if (this.#pending === undefined) {
      this.#pending = chunk;
      this.#offset = 0;
    } else {
      this.#pending = Buffer.concat([
        this.#pending.subarray(this.#offset),
        chunk,
      ]);
      this.#offset = 0;
    }
    return this.#deliver();
  }

  /** Overrides `_read` of the socket. */
  #onRead(size: number): void {
    // Bytes that are pushed within `_read` are not parsed before it returns.
    if (this.#pending === undefined) this.#read(size);
    else this.#scheduleDelivery();
  }

  /** Lets other connections have their turn before the next request. */
  #scheduleDelivery(): void {
    if (this.#deliveryScheduled) return;
    this.#deliveryScheduled = true;
    this.#opts.schedule(() => {
      this.#deliveryScheduled = false;
      if (this.#closed || this.#pending === undefined) return;
      if (this.#deliver()) this.#read(0);
    });
  }

  /**
   * Parses what may be parsed now.
   *
   * @returns whether more bytes may be read
   */
  #deliver(): boolean {
    if (this.#delivering) return false;
    this.#delivering = true;
    let flowing = true;
    while (this.#pending !== undefined && !this.socket.destroyed) {
      // The parser has stopped reading, or the response is not yet taken.
      if (
        this.socket.readableLength > 0 || (!this.#inBody && this.#inFlight > 0)
      ) {
        flowing = false;
        break;
      }
      const part = this.#inBody
        ? this.#nextBodyPart(this.#pending)
        : this.#nextHeadPart(this.#pending);
      if (part === undefined) break;
      flowing = this.#push(part);
      // Chunks of a few bytes take long to parse; others must have their turn.
      if (this.#bodyRemaining === Infinity) {
        if (this.#hasPending()) this.#scheduleDelivery();
        break;
      }
    }
    this.#delivering = false;
    if (this.#hasPending()) {
      this.#chargePending();
      return false;
    }
    this.#givePending();
    if (this.#endPending) {
      this.#endPending = false;
      return this.#push(null);
    }
    return flowing;
  }

  /** Takes `end - #offset` bytes from the pending ones. */
  #takePending(pending: Buffer, end: number): Buffer {
    const start = this.#offset;
    if (end < pending.length) this.#offset = end;
    else this.#pending = undefined;
    return start === 0 && end === pending.length
      ? pending
      : pending.subarray(start, end);
  }

  #nextBodyPart(pending: Buffer): Buffer {
    const available = pending.length - this.#offset;
    const length = this.#bodyRemaining === Infinity
      ? Math.min(available, MAX_CHUNKED_PART_BYTES)
      : Math.min(available, Math.max(1, this.#bodyRemaining));
    this.#bodyRemaining -= length;
    return this.#takePending(pending, this.#offset + length);
  }

  /** Returns undefined if the request was refused. */
  #nextHeadPart(pending: Buffer): Buffer | undefined {
    const starts = !this.#inHead;
    if (starts) {
      // Bytes that ended no request, such as empty lines, hold nothing.
      this.#release();
      this.#scanner.reset();
      this.#inHead = true;
    }
    const { budget } = this.#opts;
    const linesBefore = this.#scanner.lines;
    const found = this.#scanner.scan(pending, this.#offset);
    const end = found === -1 ? pending.length : found;
    const lines = this.#scanner.lines;
    const bytes = LINE_BYTES * (lines - linesBefore) +
      HEAD_BYTE_FACTOR * (end - this.#offset) +
      (starts ? REQUEST_BYTES : 0);
    const reason = lines > budget.limits.headerLines
      ? "header_lines"
      : this.#take(bytes)
      ? undefined
      : "memory";
    if (reason !== undefined) {
      this.#refused = true;
      this.#pending = undefined;
      // Closed to make room for others.
      if (this.#closed) return undefined;
      budget.report(reason);
      refuseUnparsableRequest(
        this.socket,
        reason === "memory" ? "ERR_CLIENT_MEMORY" : "HPE_HEADER_OVERFLOW",
      );
      return undefined;
    }
    this.#charged += bytes;
    if (found !== -1) this.#inHead = false;
    return this.#takePending(pending, end);
  }

  #discard(chunk: Buffer): boolean {
    this.#discarded += chunk.length;
    if (this.#discarded > MAX_DISCARDED_BYTES) this.socket.destroy();
    return true;
  }

  #chargePending(): void {
    const bytes = this.#pending?.length ?? 0;
    const missing = bytes - this.#chargedPending;
    if (missing <= 0) return;
    if (this.#take(missing)) {
      this.#chargedPending = bytes;
    } else if (!this.#closed) {
      this.#opts.budget.report("memory");
      this.destroy();
    }
  }

  #take(bytes: number): boolean {
    const { budget, kind } = this.#opts;
    if (this.#isClosed() || !budget.take(bytes, kind)) return false;
    // Taking memory may close connections, also this one.
    if (!this.#isClosed()) return true;
    budget.give(bytes);
    return false;
  }

  #hasPending(): boolean {
    return this.#pending !== undefined;
  }

  #isClosed(): boolean {
    return this.#closed;
  }

  #givePending(): void {
    if (this.#chargedPending === 0) return;
    this.#opts.budget.give(this.#chargedPending);
    this.#chargedPending = 0;
  }

  #release(): void {
    if (this.#charged === 0) return;
    this.#opts.budget.give(this.#charged);
    this.#charged = 0;
  }

  #onClose(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#pending = undefined;
    this.#givePending();
    this.#release();
    if (this.#opened) this.#opts.budget.give(CONNECTION_BYTES);
    this.#endListeners.clear();
  }
}

/** Bytes that the kernel has not taken, as Node.js counts them. */
function writeQueueSize(socket: Socket): number {
  const { _handle } = socket as unknown as {
    _handle?: { writeQueueSize?: number } | null;
  };
  return _handle?.writeQueueSize ?? 0;
}
