import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkGuarantees } from "../../dev/soak/check_guarantees.ts";
import type { SoakCall } from "../../dev/soak/soak_call.ts";
import type { SoakHistory } from "../../dev/soak/soak_history.ts";

type Events = SoakHistory["upstreams"][number]["events"];

function call(fields: Partial<SoakCall> = {}): SoakCall {
  return {
    id: "c1",
    atMostOnce: true,
    router: 0,
    incarnation: 1,
    sentAt: 100,
    endedAt: 200,
    outcome: { kind: "answered", status: 200, intact: true },
    ...fields,
  };
}

function refused(status: number): SoakCall["outcome"] {
  return { kind: "answered", status, intact: false };
}

const LOST: SoakCall["outcome"] = {
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
  endedAt?: number,
): SoakHistory["upstreams"][number] {
  return { name, events, endedAt };
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
      calls: [call({ atMostOnce: false })],
      upstreams: [upstream("a", [RUN]), upstream("b", [RUN])],
    },
    broken: undefined,
  },
  {
    name: "a request that was refused as not run but ran",
    record: {
      calls: [call({ outcome: refused(503) })],
      upstreams: [upstream("a", [RUN])],
    },
    broken: /refused with 503 and ran/,
  },
  {
    name: "a refused request that did not run",
    record: { calls: [call({ outcome: refused(503) })] },
    broken: undefined,
  },
  {
    name: "an answer that belongs to another request",
    record: {
      calls: [
        call({ outcome: { kind: "answered", status: 200, intact: false } }),
      ],
    },
    broken: /not its upstream's/,
  },
  {
    name: "a failed request without a fault",
    record: { calls: [call({ outcome: LOST })] },
    broken: /lost on planned work/,
  },
  {
    name: "an unknown outcome (502) without a fault",
    record: { calls: [call({ outcome: refused(502) })] },
    broken: /lost on planned work: status 502/,
  },
  {
    name: "a failed request shortly after a fault",
    record: {
      calls: [call({ outcome: LOST, sentAt: 5000, endedAt: 5100 })],
      faults: [{ from: 0, to: 100 }],
    },
    broken: undefined,
  },
  {
    name: "a failed request long after a fault",
    record: {
      calls: [call({ outcome: LOST, sentAt: 9000, endedAt: 9100 })],
      faults: [{ from: 0, to: 100 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "a request that never reached a router",
    record: { calls: [call({ outcome: { ...LOST, connected: false } })] },
    broken: undefined,
  },
  {
    name: "a request sent while a planned stop closed its connection",
    record: {
      calls: [call({ outcome: LOST })],
      stops: [{ router: 0, incarnation: 1, from: 90, to: 300 }],
    },
    broken: undefined,
  },
  {
    name: "a failed request sent before a planned stop",
    record: {
      calls: [call({ outcome: LOST })],
      stops: [{ router: 0, incarnation: 1, from: 110, to: 300 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "a request that ran, but failed during a planned stop",
    record: {
      calls: [call({ outcome: LOST })],
      upstreams: [upstream("a", [RUN])],
      stops: [{ router: 0, incarnation: 1, from: 90, to: 300 }],
    },
    broken: /lost on planned work/,
  },
  {
    name: "two owners of a key at the same time",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)]),
        upstream("b", [granted(900, 2000, 2)]),
      ],
    },
    broken: /key 0 held by a and b for 100.0 ms/,
  },
  {
    name: "an owner that follows after the previous lease expired",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)]),
        upstream("b", [granted(1000, 2000, 2)]),
      ],
    },
    broken: undefined,
  },
  {
    name: "two owners after a late order with an older token",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1), granted(2000, 3000, 1)]),
        upstream("b", [granted(1400, 2400, 2)]),
      ],
    },
    broken: /key 0 held by a and b for 400.0 ms/,
  },
  {
    name: "an owner that follows after the previous process ended",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1)], 500),
        upstream("b", [granted(600, 2000, 2)]),
      ],
    },
    broken: undefined,
  },
  {
    name: "an owner of keys of which the previous owner released only some",
    record: {
      upstreams: [
        upstream("a", [granted(0, 1000, 1), released(400)]),
        upstream("b", [granted(600, 2000, 2)]),
      ],
    },
    broken: /key 0 held by a and b for 400.0 ms/,
  },
  {
    name: "a renewal by the same owner",
    record: {
      upstreams: [upstream("a", [granted(0, 1000, 1), granted(500, 1500, 1)])],
    },
    broken: undefined,
  },
  {
    name: "a router that returns to an older configuration",
    record: {
      probes: [
        { router: 0, incarnation: 1, version: 3, sentAt: 0, endedAt: 10 },
        { router: 0, incarnation: 1, version: 2, sentAt: 20, endedAt: 30 },
      ],
    },
    broken: /from configuration 3 back to 2/,
  },
  {
    name: "an older configuration after a restart of the router",
    record: {
      probes: [
        { router: 0, incarnation: 1, version: 3, sentAt: 0, endedAt: 10 },
        { router: 0, incarnation: 2, version: 2, sentAt: 20, endedAt: 30 },
      ],
    },
    broken: undefined,
  },
];

describe("checkGuarantees", () => {
  for (const { name, record, broken } of CASES) {
    it(`${broken === undefined ? "accepts" : "finds"} ${name}`, () => {
      const found = checkGuarantees({
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
