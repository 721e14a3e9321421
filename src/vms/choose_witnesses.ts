import { keyDigest } from "../base/key_digest.ts";
import type { MemberRow } from "./member_row.ts";

const MAX_WITNESSES = 5;

/**
 * Chooses a router's witnesses, which confirm outages of the table service:
 * members of the same region, taken in turn from each failure domain, starting
 * with the domains other than the router's own. Within a domain they are
 * ordered by a hash of both VM ids, so that the choice is stable and differs
 * between routers.
 *
 * @param self - the router that needs witnesses
 * @param candidates - members that may be chosen
 * @returns incarnation of each chosen router (at most five), by VM id
 */
export function chooseWitnesses(
  self: Pick<MemberRow, "vm" | "region" | "failureDomain">,
  candidates: readonly MemberRow[],
): Record<string, string> {
  const domains = new Map<string, MemberRow[]>();
  for (const row of candidates) {
    if (row.vm === self.vm || row.region !== self.region) continue;
    domains.set(row.failureDomain, [
      ...domains.get(row.failureDomain) ?? [],
      row,
    ]);
  }
  const rowsByDomain = [...domains].sort(([a], [b]) => {
    const ownDomainLast = Number(a === self.failureDomain) -
      Number(b === self.failureDomain);
    return ownDomainLast !== 0 ? ownDomainLast : a < b ? -1 : 1;
  }).map(([, rows]) =>
    rows.map((row) => ({ row, rank: keyDigest(self.vm, row.vm) }))
      .sort((a, b) => a.rank < b.rank ? -1 : 1)
      .map(({ row }) => row)
  );
  const chosen: Record<string, string> = {};
  for (let turn = 0; turn < candidates.length; turn++) {
    for (const rows of rowsByDomain) {
      const row = rows[turn];
      if (row === undefined) continue;
      if (Object.keys(chosen).length === MAX_WITNESSES) return chosen;
      chosen[row.vm] = row.incarnation;
    }
  }
  return chosen;
}
