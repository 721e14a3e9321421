import { systemClock } from "../../src/base/system_clock.ts";
import type { Clock } from "../../src/base/clock.ts";
import { Upstream } from "../../src/direct/upstream.ts";
import { IdleLimit } from "../../src/upstreams/idle_limit.ts";
import type { UpstreamEntry } from "../../src/direct/upstream_entry.ts";

/**
 * @param fields - fields that differ from a ready upstream with two slots
 * @param clock - clock for its connections
 * @param idleLimit - limits how long its connections may stay idle
 * @returns an upstream
 */
export function testUpstream(
  fields: Partial<UpstreamEntry> = {},
  clock: Clock = systemClock,
  idleLimit = new IdleLimit(),
): Upstream {
  return new Upstream(
    {
      id: "u-1",
      incarnation: 1,
      heartbeat: 1,
      service: "ledger",
      address: "127.0.0.1:1",
      failureDomain: "a1",
      slots: 2,
      state: "ready",
      warmUpMs: 0,
      ...fields,
    },
    clock,
    {
      idleLimit,
      onLeaveAnnounced: () => undefined,
      mayReject: () => true,
      drainingSince: clock.now(),
    },
  );
}
