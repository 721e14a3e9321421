import { readFileSync } from "node:fs";

const TICKS_PER_S = 100;
// Positions after the process name, which may itself hold spaces.
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * @param pid - a running process
 * @returns processor time that it has used, in seconds
 */
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks / TICKS_PER_S;
}
