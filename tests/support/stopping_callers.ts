import { Agent, request } from "node:http";
import { systemClock } from "../../src/base/system_clock.ts";

type Outcome = { kind: "answered" | "closed"; text: string };

const POLL_INTERVAL_MS = 10;

/**
 * Callers of a router that stops: half of them keep their connections as long
 * as the router does, the others open one for each request.
 */
export class StoppingCallers {
  /** Resolves when no caller can send any more. */
  readonly ended: Promise<unknown>;
  /** Requests without a complete success. */
  readonly failures: string[] = [];
  readonly #port: number;
  #answered = 0;
  #connecting = true;

  constructor(port: number, callers: number) {
    this.#port = port;
    this.ended = Promise.all(
      Array.from({ length: callers }, (_, n) => this.#run(n, n % 2 === 0)),
    );
  }

  /** Waits until this many requests were answered. */
  async untilAnswered(count: number): Promise<void> {
    while (this.#answered < count) await systemClock.sleep(POLL_INTERVAL_MS);
  }

  /** Opens no further connections; kept ones are used until they close. */
  stopConnecting(): void {
    this.#connecting = false;
  }

  async #run(caller: number, keepAlive: boolean): Promise<void> {
    const agent = new Agent({ keepAlive, maxSockets: 1 });
    for (let n = 0;; n++) {
      const kept = Object.keys(agent.freeSockets).length > 0;
      if (!kept && !this.#connecting) break;
      const id = `caller-${caller}-${n}`;
      const { kind, text } = await this.#send(agent, id, n);
      if (kind === "answered" && text === `200 s-${id}`) this.#answered++;
      // A kept connection may be closed while a request is on its way; it was
      // not read then.
      else if (kind === "answered" || !kept) {
        this.failures.push(`${id}: ${kind}, ${text}`);
      }
    }
    agent.destroy();
  }

  #send(agent: Agent, id: string, key: number): Promise<Outcome> {
    return new Promise((resolve) => {
      const req = request({
        agent,
        port: this.#port,
        host: "127.0.0.1",
        method: "POST",
        path: "/a/x",
        headers: {
          "host": "h.example",
          "content-length": 2,
          "fescuerun-request-id": id,
          "fescuerun-shard-key": key,
          "fescuerun-request-deadline": 5000,
        },
      }, (res) => {
        const { statusCode, headers } = res;
        const signature = String(headers["fescuerun-response-signature"]);
        res.resume();
        res.once(
          "end",
          () =>
            resolve({ kind: "answered", text: `${statusCode} ${signature}` }),
        );
        res.once(
          "error",
          (err) => resolve({ kind: "closed", text: String(err) }),
        );
      });
      req.once(
        "error",
        (err) => resolve({ kind: "closed", text: String(err) }),
      );
      req.end("hi");
    });
  }
}
