import type { AcceptanceMember } from "./acceptance_member.ts";

/** A router without store contact stops serving well within this time. */
const SILENT_MS = 2500;

type Evidence = {
  member: AcceptanceMember;
  now: number;
  /** When the wait began, which is after the commit. */
  startedAt: number;
  /** When the read that returned `member` was sent. */
  listedAt: number;
  /** When the member last said that it serves an older version. */
  servedOlderAt: number | undefined;
  /** Its last answer that it does so as `current`. */
  currentWithOlder: { at: number; incarnation: string } | undefined;
  /** Whether this process of the VM has confirmed the version. */
  isConfirmed: (vm: string, incarnation: string) => boolean;
};

/**
 * Decides whether a member that has not confirmed a version is provably not
 * serving an older one. After 2.5 s it is no longer `current` unless it has
 * read the version. It can only be in `outage` with the agreement of all its
 * witnesses, and one that has confirmed the version passes it on with each
 * answer. A member without witnesses is never in `outage`.
 *
 * @param evidence - what is known of the member
 * @returns whether the member counts as not serving
 */
export function isNotServing(evidence: Evidence): boolean {
  const { member, now, startedAt, listedAt, currentWithOlder } = evidence;
  const silentSince = evidence.servedOlderAt ?? startedAt;
  // A row from before that time could name other witnesses than are in use.
  if (now - silentSince < SILENT_MS || listedAt - startedAt < SILENT_MS) {
    return false;
  }
  const { reachable } = member;
  if (reachable === undefined) return false;
  // Contact that late has read the version: the member cannot parse it (for
  // example a newer schema) and goes on with the older one.
  if (
    currentWithOlder !== undefined &&
    currentWithOlder.at - startedAt >= SILENT_MS &&
    currentWithOlder.incarnation === reachable.incarnation
  ) return false;
  // A witness that restarted since says nothing about the member, which may
  // have left it out after its farewell.
  return reachable.witnesses.length === 0 ||
    reachable.witnesses.some((vm) => {
      const incarnation = reachable.witnessIncarnations?.[vm];
      return incarnation !== undefined &&
        evidence.isConfirmed(vm, incarnation);
    });
}
