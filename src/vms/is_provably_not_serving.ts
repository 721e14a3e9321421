import type { CatalogueStatus } from "./catalogue_status.ts";
import type { MemberRow } from "./member_row.ts";

const PROOF_MS = 2500;

/**
 * Decides whether a member that does not confirm a catalogue version may be
 * left out. Without contact to the store it serves only under a promise of
 * every witness, and a witness does not confirm while it is bound by one.
 *
 * @param proof - `member` as read from the store after the commit, `version`
 * to be accepted, `statuses` that routers answered, and `unconfirmedMs`, the
 * time since the commit
 * @returns whether the member cannot be serving an older version
 */
export function isProvablyNotServing(
  proof: {
    member: MemberRow;
    version: number;
    statuses: readonly CatalogueStatus[];
    unconfirmedMs: number;
  },
): boolean {
  if (proof.unconfirmedMs < PROOF_MS) return false;
  // A router that reads the store but not this version (for example a newer
  // schema) goes on with the older one.
  const isCurrent = proof.statuses.some((status) =>
    status.vm === proof.member.vm && status.mode === "current"
  );
  if (isCurrent) return false;
  const incarnations = proof.member.witnessIncarnations ?? {};
  // A witness that restarted since says nothing about the member: the member
  // may have left it out after its farewell.
  return proof.statuses.some((status) =>
    incarnations[status.vm] === status.incarnation &&
    status.version >= proof.version
  );
}
