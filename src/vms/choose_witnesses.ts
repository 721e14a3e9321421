import { keyDigest } from "../base/key_digest.ts";
import type { MemberRow } from "./member_row.ts";

const MAX_WITNESSES = 5;

/**
 * Chooses the routers that vouch for a store outage: members of the same
 * region, taken in turn from each failure domain, other domains first. Within
 * a domain the order is a hash of both VMs, so that the choice is stable and
 * routers differ in it.
 *
 * @param self - the router that asks
 * @param candidates - members that may be chosen
 * @returns incarnation of each chosen router, by VM id
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
  const ordered = [...domains].sort(([a], [b]) => {
    const own = Number(a === self.failureDomain) -
      Number(b === self.failureDomain);
    return own !== 0 ? own : a < b ? -1 : 1;
  }).map(([, rows]) =>
    rows.map((row) => ({ row, rank: keyDigest(self.vm, row.vm) }))
      .sort((a, b) => a.rank < b.rank ? -1 : 1)
      .map(({ row }) => row)
  );
  const chosen: Record<string, string> = {};
  for (let turn = 0; turn < candidates.length; turn++) {
    for (const rows of ordered) {
      const row = rows[turn];
      if (row === undefined) continue;
      if (Object.keys(chosen).length === MAX_WITNESSES) return chosen;
      chosen[row.vm] = row.incarnation;
    }
  }
  return chosen;
}
