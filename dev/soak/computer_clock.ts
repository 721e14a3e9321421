import type { Clock } from "../../src/base/clock.ts";
import { systemClock } from "../../src/base/system_clock.ts";

const NS_PER_MS = 1e6;

/** A clock that all processes of the computer share; it never goes back. */
export const computerClock: Clock = {
  ...systemClock,
  now: () => Number(process.hrtime.bigint()) / NS_PER_MS,
};
