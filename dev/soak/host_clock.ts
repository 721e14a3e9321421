import type { Clock } from "../../src/base/clock.ts";
import { systemClock } from "../../src/base/system_clock.ts";

const NS_PER_MS = 1e6;

/** Monotonic clock that all processes of this host share, in milliseconds. */
export const hostClock: Clock = {
  ...systemClock,
  now: () => Number(process.hrtime.bigint()) / NS_PER_MS,
};
