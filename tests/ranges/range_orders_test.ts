import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import type { KeyRange } from "../../src/ranges/key_range.ts";
import type { RangeGrants } from "../../src/ranges/range_grants.ts";
import { RangeOrders } from "../../src/ranges/range_orders.ts";
import { RangeTable } from "../../src/ranges/range_table.ts";
import { RangeRig } from "../support/range_rig.ts";
import { silentLogger } from "../support/silent_logger.ts";

const HOLD_MS = 4000;
/** The upstream's clock may run 2% slow. */
const LONGEST_HOLD_MS = HOLD_MS * 1.02;
/** After this time a new leader need not wait for its predecessors. */
const ALONE_MS = 20_000;
const MAX_SPAN_MS = 15_000;

type GrantResult = Awaited<ReturnType<RangeGrants["grant"]>>;

describe("RangeOrders", () => {
  // Guards against two owners of a key: a grant that is not sent must not undo
  // what is known of other grants to the same owner in the meantime.
  for (const result of ["not_sent", "unanswered", "refused"] as const) {
    for (const delayMs of [0, 20, 300]) {
      it(`waits for all leases of an owner, one of whose renewals ends as ${result} after ${delayMs} ms`, async () => {
        const rig = new RangeRig();
        const { view, lease, end } = rig.addCandidate("vm-1", ["u-1", "u-2"]);
        void lease.run();
        await rig.advance(ALONE_MS);
        assert.ok(lease.confirmed);
        const owner = { id: "u-1", incarnation: 1 };
        const failing = { first: 0, last: 99, owner, fence: 1, previous: [] };
        const held = { first: 100, last: 199, owner, fence: 2, previous: [] };
        const moved = {
          ...held,
          owner: { id: "u-2", incarnation: 1 },
          fence: 3,
          previous: [{ ...owner, fence: 2 }],
        };
        let ranges: KeyRange[] = [failing, held];
        const grantedAt = new Map<string, number>();
        const renewals: GrantResult[] = [];
        const grants: RangeGrants = {
          grant: async ({ id, first }) => {
            if (first === failing.first && grantedAt.has("failing")) {
              await rig.clock.sleep(delayMs);
              renewals.push(result);
              return result;
            }
            const name = first === failing.first ? "failing" : id;
            grantedAt.set(name, rig.clock.now());
            return "granted";
          },
          release: async () => {
            await rig.clock.sleep(100);
            return { kind: "unanswered" };
          },
        };
        const orders = new RangeOrders({
          service: "ledger",
          view,
          lease,
          grants,
          clock: rig.clock,
          logger: silentLogger(),
          metrics: new DirectMetrics(),
          holdMs: HOLD_MS,
          knownTable: () =>
            new RangeTable(1, { schema: 1, nextFence: 10, ranges }),
          onStale: () => undefined,
        });
        void orders.run(end.signal);
        while (renewals.length === 0) await rig.advance(20);
        const lastGrantAt = grantedAt.get("u-1") ?? 0;
        ranges = [moved];
        for (let ms = 0; ms < MAX_SPAN_MS && !grantedAt.has("u-2"); ms += 20) {
          await rig.advance(20);
        }
        const waitedMs = (grantedAt.get("u-2") ?? 0) - lastGrantAt;
        assert.ok(waitedMs >= LONGEST_HOLD_MS, `${waitedMs} ms`);
        end.abort();
      });
    }
  }
});
