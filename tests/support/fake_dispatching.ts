import { Readable } from "node:stream";
import type { Refusal } from "../../src/base/refusal.ts";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import type { Dispatching } from "../../src/upstreams/dispatching.ts";

type Step = (
  req: DispatchRequest,
  signal: AbortSignal,
) => DispatchOutcome | Promise<DispatchOutcome>;

/**
 * Records requests and returns the given outcomes in turn, the last one
 * repeatedly.
 */
export class FakeDispatching implements Dispatching {
  readonly requests: DispatchRequest[] = [];
  readonly #steps: Step[];

  constructor(...steps: Step[]) {
    this.#steps = steps;
  }

  async dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    this.requests.push(req);
    const step = this.#steps[this.requests.length - 1] ?? this.#steps.at(-1);
    if (step === undefined) throw new Error("no outcomes were given");
    return await step(req, signal);
  }

  /** Responds with the request's body. */
  static readonly echo =
    (status = 200, headers: Record<string, string> = {}): Step =>
    async (
      req,
    ) => {
      const body = await FakeDispatching.read(req);
      return {
        kind: "response",
        status,
        headers: { ...headers, "x-digest": req.digest ?? "" },
        body: Readable.from([Buffer.from(body)]),
        waitMs: 1,
      };
    };

  /** Refuses the request without reading its body. */
  static readonly refuse = (
    code: Refusal["code"],
    outcome: Refusal["outcome"] = "not_run",
    data?: Refusal["data"],
  ): Step =>
  () => ({
    kind: "refused",
    refusal: {
      code,
      outcome,
      message: "from the fake",
      ...(data === undefined ? {} : { data }),
    },
  });

  /** Reads the request's body to its end. */
  static async read(req: DispatchRequest): Promise<string> {
    if (req.body === undefined) return "";
    if (!(req.body instanceof Readable)) {
      return Buffer.from(req.body).toString();
    }
    const parts: Buffer[] = [];
    for await (const part of req.body) parts.push(part as Buffer);
    return Buffer.concat(parts).toString();
  }
}
