import type { AcceptanceMember } from "./acceptance_member.ts";

/** A router without contact to the store stops serving well before this. */
const MIN_SILENCE_MS = 2500;

/** Times are in milliseconds of the monotonic clock. */
type Evidence = {
  member: AcceptanceMember;
  now: number;
  /** When the wait for acceptance began, after the commit. */
  startedAt: number;
  /** When the read that returned `member` was sent. */
  listedAt: number;
  /** When the member last reported that it serves an older version. */
  lastOlderReportAt: number | undefined;
  /** Its last report that it serves an older version as `current`. */
  lastOlderReportAsCurrent: { at: number; incarnation: string } | undefined;
  /** Whether this incarnation on the VM has confirmed the version. */
  isConfirmed: (vm: string, incarnation: string) => boolean;
};

/**
 * Decides whether a member that has not confirmed a version is provably not
 * serving an older one. After 2.5 s, the member is no longer `current` unless
 * it has read the version. It is in `outage` only with the agreement of all its
 * witnesses. A witness that has confirmed the version reports it in each of its
 * answers, and a member with an older version then stops serving. A member
 * without witnesses is never in `outage`.
 *
 * @param evidence - the member's row, its reports and the confirmations
 * @returns whether the member counts as not serving
 */
export function isNotServing(evidence: Evidence): boolean {
  const { member, now, startedAt, listedAt, lastOlderReportAsCurrent } =
    evidence;
  const silentSince = evidence.lastOlderReportAt ?? startedAt;
  // An earlier read may name other witnesses than the member now uses.
  if (
    now - silentSince < MIN_SILENCE_MS || listedAt - startedAt < MIN_SILENCE_MS
  ) {
    return false;
  }
  const { reachable } = member;
  if (reachable === undefined) return false;
  // A member that is `current` this late has read the version. It cannot parse
  // it (for example because of a newer schema) and keeps serving the older one.
  if (
    lastOlderReportAsCurrent !== undefined &&
    lastOlderReportAsCurrent.at - startedAt >= MIN_SILENCE_MS &&
    lastOlderReportAsCurrent.incarnation === reachable.incarnation
  ) return false;
  // A witness that has restarted since the row was written is no evidence: its
  // earlier process may have announced that it leaves, after which the member
  // no longer needs its agreement.
  return reachable.witnesses.length === 0 ||
    reachable.witnesses.some((vm) => {
      const incarnation = reachable.witnessIncarnations?.[vm];
      return incarnation !== undefined &&
        evidence.isConfirmed(vm, incarnation);
    });
}
