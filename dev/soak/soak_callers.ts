import { Client } from "undici";
import { callerProtocol } from "../../platform/standins/caller_protocol.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { SoakCall } from "./soak_call.ts";

type Target = { router: number; run: number; port: number };
type Options = {
  host: string;
  /** Routers that run, as far as callers can know. */
  targets: () => readonly Target[];
  callers: number;
  clock: Clock;
};
type Connection = { target: Target; client: Client };

const DEADLINE_MS = 2500;
/** After this time, a router has not even said that it was too late. */
const GIVE_UP_MS = DEADLINE_MS + 2000;
const MAX_PAUSE_MS = 60;
/** Callers prefer few keys, which are next to one another. */
const HOT_KEYS = 40;
const HOT_PART = 0.5;
const KEYS = 65_536;
const NOT_CONNECTED: readonly (string | undefined)[] = [
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
];
const PREFIXES = ["/read/", "/write/", "/keyed-read/", "/keyed-write/"];

/** Callers that keep using an open connection until it is gone. */
export class SoakCallers {
  readonly calls: SoakCall[] = [];
  readonly #opts: Options;
  #count = 0;

  /**
   * @param opts - whom they call
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Calls until the signal aborts.
   *
   * @param signal - ends the callers after their present request
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(
      Array.from({ length: this.#opts.callers }, () => this.#call(signal)),
    );
  }

  /**
   * Sends one request on a connection of its own.
   *
   * @param target - the router
   * @param path - the request's path
   * @param key - number of its key
   * @returns how it ended; it is among `calls` as well
   */
  async once(target: Target, path: string, key?: number): Promise<SoakCall> {
    const client = clientOf(target);
    const call = await this.#send({ target, client }, path, key);
    await client.destroy();
    return call;
  }

  async #call(signal: AbortSignal): Promise<void> {
    const { clock, targets } = this.#opts;
    let connection: Connection | undefined;
    while (!signal.aborted) {
      connection ??= connectTo(pick(targets()));
      if (connection !== undefined) {
        const path = `${pick(PREFIXES) ?? "/read/"}x`;
        const key = Math.random() < HOT_PART
          ? Math.floor(Math.random() * HOT_KEYS)
          : Math.floor(Math.random() * KEYS);
        const call = await this.#send(connection, path, key);
        if (call.end.kind === "failed") {
          await connection.client.destroy();
          connection = undefined;
        }
      }
      await clock.sleep(Math.random() * MAX_PAUSE_MS, signal);
    }
    await connection?.client.destroy();
  }

  async #send(
    { target, client }: Connection,
    path: string,
    key: number | undefined,
  ): Promise<SoakCall> {
    const { clock, host } = this.#opts;
    this.#count++;
    const id = `c${this.#count}`;
    const method = path.includes("write") ? "POST" : "GET";
    const body = method === "POST" ? `body of ${id}` : "";
    const sentAt = clock.now();
    const end = await exchange(client, {
      path,
      method,
      headers: {
        host,
        ...callerProtocol.headers({ id, deadlineMs: DEADLINE_MS, key }),
      },
      body,
    }, id);
    const call = {
      id,
      once: method === "POST",
      router: target.router,
      run: target.run,
      sentAt,
      endedAt: clock.now(),
      end,
    };
    this.calls.push(call);
    return call;
  }
}

async function exchange(
  client: Client,
  req: {
    path: string;
    method: "GET" | "POST";
    headers: Record<string, string>;
    body: string;
  },
  id: string,
): Promise<SoakCall["end"]> {
  try {
    const res = await client.request({
      ...req,
      body: req.body === "" ? null : req.body,
      signal: AbortSignal.timeout(GIVE_UP_MS),
    });
    const text = await res.body.text();
    const whole = callerProtocol.isSigned(id, res.headers) &&
      text === `${id} ${req.method} ${req.path} ${req.body}`;
    return { kind: "answered", status: res.statusCode, whole };
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    return {
      kind: "failed",
      reason: String(err),
      connected: !NOT_CONNECTED.includes(code),
    };
  }
}

function clientOf({ port }: Target): Client {
  return new Client(`http://127.0.0.1:${port}`, {
    connect: { timeout: 1000 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function connectTo(target: Target | undefined): Connection | undefined {
  return target && { target, client: clientOf(target) };
}

function pick<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
