import { readFileSync } from "node:fs";

const TICKS_PER_S = 100;
// Field positions after the process name, which may itself contain spaces.
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * Reads the processor time of a process from `/proc`.
 *
 * @param pid - id of a running process
 * @returns user and system time that the process has used, in seconds
 */
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks / TICKS_PER_S;
}
