/**
 * @param times - sorted or unsorted times of events, in milliseconds
 * @param windowMs - length of the window
 * @returns the most events in any window, which slides with the events
 */
export function mostInWindow(
  times: readonly number[],
  windowMs: number,
): number {
  const sorted = [...times].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  for (const [index, time] of sorted.entries()) {
    while (time - sorted[first]! > windowMs) first++;
    most = Math.max(most, index - first + 1);
  }
  return most;
}
