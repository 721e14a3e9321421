import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkPromises } from "../../dev/soak/check_promises.ts";
import type { SoakCall } from "../../dev/soak/soak_call.ts";
import type { SoakHistory } from "../../dev/soak/soak_history.ts";

type Events = SoakHistory["upstreams"][number]["events"];

function call(fields: Partial<SoakCall> = {}): SoakCall {
  return {
    id: "c1",
    once: true,
    router: 0,
    run: 1,
    sentAt: 100,
    endedAt: 200,
    end: { kind: "answered", status: 200, whole: true },
    ...fields,
  };
}

function refused(status: number): SoakCall["end"] {
  return { kind: "answered", status, whole: false };
}

const LOST: SoakCall["end"] = {
  kind: "failed",
  reason: "reset",
  connected: true,
};
const RUN = { kind: "run", at: 150, id: "c1" } as const;

function granted(at: number, until: number, fence: number): Events[number] {
  return { kind: "granted", at, first: 0, last: 9, fence, until };
}

function released(at: number): Events[number] {
  return { kind: "released", at, first: 5, last: 9, fence: 2 };
}

function upstream(
  name: string,
  events: Events,
  killedAt?: number,
): SoakHistory["upstreams"][number] {
  return { name, events, killedAt };
}

const CASES: readonly {
  name: string;
  record: Partial<SoakHistory>;
  broken: RegExp | undefined;
}[] = [
  {
    name: "an answered request",
    record: { calls: [call()], upstreams: [upstream("a", [RUN])] },
    broken: undefined,
  },
  {
    name: "a request that ran twice",
    record: {
      calls: [call()],
      upstreams: [upstream("a", [RUN]), upstream("b", [RUN])],
    },
    broken: /c1 ran 2 times/,
  },
  {
    name: "an idempotent request that ran twice",
    record: {
      calls: [call({ once: false })],
      upstreams: [upstream("a", [RUN]), upstream("b", [RUN])],
    },
    broken: undefined,
  },
  {
    name: "a refusal of a request that ran",
    record: {
      calls: [call({ end: refused(503) })],
      upstreams: [upstream("a", [RUN])],
    },
    broken: /refused with 503 and ran/,
  },
  {
    name: "a refusal",
    record: { calls: [call({ end: refused(503) })] },
    broken: undefined,
  },
  {
    name: "the answer to another request",
    record: {
      calls: [call({ end: { kind: "answered", status: 200, whole: false } })],
    },
    broken: /not its upstream's/,
  },
  {
    name: "a failed request without any fault",
    record: { calls: [call({ end: LOST })] },
    broken: /lost on planned work/,
  },
  {
    name: "an unknown outcome without any fault",
    record: { calls: [call({ end: refused(502) })] },
    broken: /lost on planned work: status 502/,
  },
  {
    name: "a failed request shortly after a fault",
    record: {
      calls: [call({ end: LOST, sentAt: 5000, endedAt: 5100 })],
      faults: [{ from: 0, to: 100 }],
    },
    broken: undefined,
  },
  {
    name: "a failed request long after a fault",
    record: {
      calls: [call({ end: LOST, sentAt: 9000, endedAt: 9100 })],
      faults: [{ from: 0, to: 100 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "a request that reached no router",
    record: { calls: [call({ end: { ...LOST, connected: false } })] },
    broken: undefined,
  },
  {
    name: "a request that crosses the close of a planned stop",
    record: {
      calls: [call({ end: LOST })],
      stops: [{ router: 0, run: 1, from: 90, to: 300 }],
    },
    broken: undefined,
  },
  {
    name: "a request that was sent before a planned stop",
    record: {
      calls: [call({ end: LOST })],
      stops: [{ router: 0, run: 1, from: 110, to: 300 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "a request that ran and was lost in a planned stop",
    record: {
      calls: [call({ end: LOST })],
      upstreams: [upstream("a", [RUN])],
      stops: [{ router: 0, run: 1, from: 90, to: 300 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "two holders",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)]),
        upstream("b", [granted(900, 2000, 2)]),
      ],
    },
    broken: /key 0 held by a and b for 100.0 ms/,
  },
  {
    name: "a holder after another one's lease",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)]),
        upstream("b", [granted(1000, 2000, 2)]),
      ],
    },
    broken: undefined,
  },
  {
    name: "a holder after another one's end",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)], 500),
        upstream("b", [granted(600, 2000, 2)]),
      ],
    },
    broken: undefined,
  },
  {
    name: "a holder of keys of which only some were released",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1), released(400)]),
        upstream("b", [granted(600, 2000, 2)]),
      ],
    },
    broken: /key 0 held by a and b for 400.0 ms/,
  },
  {
    name: "a lease that is renewed",
    record: {
      upstreams: [upstream("a", [granted(0, 1000, 1), granted(500, 1500, 1)])],
    },
    broken: undefined,
  },
  {
    name: "an older configuration after a newer one",
    record: {
      probes: [
        { router: 0, run: 1, version: 3, sentAt: 0, endedAt: 10 },
        { router: 0, run: 1, version: 2, sentAt: 20, endedAt: 30 },
      ],
    },
    broken: /from configuration 3 back to 2/,
  },
  {
    name: "an older configuration at a router that started again",
    record: {
      probes: [
        { router: 0, run: 1, version: 3, sentAt: 0, endedAt: 10 },
        { router: 0, run: 2, version: 2, sentAt: 20, endedAt: 30 },
      ],
    },
    broken: undefined,
  },
];

describe("checkPromises", () => {
  for (const { name, record, broken } of CASES) {
    it(`${broken === undefined ? "accepts" : "finds"} ${name}`, () => {
      const found = checkPromises({
        calls: [],
        upstreams: [],
        probes: [],
        faults: [],
        stops: [],
        ...record,
      });
      if (broken === undefined) assert.deepEqual(found, []);
      else assert.match(found.join("\n"), broken);
    });
  }
});
