import { Client } from "undici";
import { callerProtocol } from "../../platform/standins/caller_protocol.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { SoakCall } from "./soak_call.ts";

/** A router's process: the router's index, its process number and port. */
type Target = { router: number; incarnation: number; port: number };
type Options = {
  host: string;
  /** Routers that callers may connect to at present. */
  targets: () => readonly Target[];
  callers: number;
  clock: Clock;
};
type Connection = { target: Target; client: Client };

const DEADLINE_MS = 2500;
/**
 * Timeout without any answer; leaves the router time after the deadline to
 * answer that it has passed.
 */
const REQUEST_TIMEOUT_MS = DEADLINE_MS + 2000;
const MAX_REQUEST_PAUSE_MS = 60;
/**
 * Many requests use one of a few adjacent keys, and after a while others, so
 * that keys move to other upstreams all the time.
 */
const HOT_KEY_COUNT = 40;
const HOT_KEY_FRACTION = 0.9;
const HOT_KEYS_INTERVAL_MS = 2000;
/** Spreads the hot keys over all keys. */
const HOT_KEYS_STRIDE = 25_013;
const KEY_COUNT = 65_536;
const NOT_CONNECTED_CODES: readonly (string | undefined)[] = [
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
];
const PATH_PREFIXES = ["/read/", "/write/", "/keyed-read/", "/keyed-write/"];

/** Callers that each reuse one connection until a request on it fails. */
export class SoakCallers {
  readonly calls: SoakCall[] = [];
  /** Whether some keys are hot; if not, the load does not fill any upstream. */
  hotKeys = true;
  readonly #opts: Options;
  #sentCount = 0;

  /**
   * @param opts - host name and routers to call, and the number of callers
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Sends requests until the signal aborts.
   *
   * @param signal - stops each caller after its current request
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(
      Array.from({ length: this.#opts.callers }, () => this.#runCaller(signal)),
    );
  }

  /**
   * Sends one request on a new connection.
   *
   * @param target - the router
   * @param path - the request's path
   * @param key - the request's key, if it has one
   * @returns the request with its outcome; it is added to `calls` as well
   */
  async sendOne(target: Target, path: string, key?: number): Promise<SoakCall> {
    const client = createClient(target);
    const call = await this.#send({ target, client }, path, key);
    await client.destroy();
    return call;
  }

  async #runCaller(signal: AbortSignal): Promise<void> {
    const { clock, targets } = this.#opts;
    let connection: Connection | undefined;
    while (!signal.aborted) {
      connection ??= connectTo(pickRandom(targets()));
      if (connection !== undefined) {
        const path = `${pickRandom(PATH_PREFIXES) ?? "/read/"}x`;
        const firstHotKey = HOT_KEYS_STRIDE *
          Math.floor(clock.now() / HOT_KEYS_INTERVAL_MS);
        const key = this.hotKeys && Math.random() < HOT_KEY_FRACTION
          ? (firstHotKey + Math.floor(Math.random() * HOT_KEY_COUNT)) %
            KEY_COUNT
          : Math.floor(Math.random() * KEY_COUNT);
        const call = await this.#send(connection, path, key);
        if (call.outcome.kind === "failed") {
          await connection.client.destroy();
          connection = undefined;
        }
      }
      await clock.sleep(Math.random() * MAX_REQUEST_PAUSE_MS, signal);
    }
    await connection?.client.destroy();
  }

  async #send(
    { target, client }: Connection,
    path: string,
    key: number | undefined,
  ): Promise<SoakCall> {
    const { clock, host } = this.#opts;
    this.#sentCount++;
    const id = `c${this.#sentCount}`;
    const method = path.includes("write") ? "POST" : "GET";
    const body = method === "POST" ? `body of ${id}` : "";
    const sentAt = clock.now();
    const outcome = await sendRequest(client, {
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
      atMostOnce: method === "POST",
      router: target.router,
      incarnation: target.incarnation,
      sentAt,
      endedAt: clock.now(),
      outcome,
    };
    this.calls.push(call);
    return call;
  }
}

async function sendRequest(
  client: Client,
  req: {
    path: string;
    method: "GET" | "POST";
    headers: Record<string, string>;
    body: string;
  },
  id: string,
): Promise<SoakCall["outcome"]> {
  try {
    const res = await client.request({
      ...req,
      body: req.body === "" ? null : req.body,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await res.body.text();
    const intact = callerProtocol.isSigned(id, res.headers) &&
      text === `${id} ${req.method} ${req.path} ${req.body}`;
    return { kind: "answered", status: res.statusCode, intact };
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    return {
      kind: "failed",
      reason: String(err),
      connected: !NOT_CONNECTED_CODES.includes(code),
    };
  }
}

function createClient({ port }: Target): Client {
  return new Client(`http://127.0.0.1:${port}`, {
    connect: { timeout: 1000 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function connectTo(target: Target | undefined): Connection | undefined {
  return target && { target, client: createClient(target) };
}

function pickRandom<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
