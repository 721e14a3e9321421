type OwnerLoad = {
  id: string;
  /** Requests per second that clients send for the owner's keys. */
  ratePerS: number;
  /** Requests per second that the owner can serve. */
  capacityPerS: number;
};

/** Excess over the capacity, in standard errors of the measured rate. */
const MIN_EXCESS_Z_SCORE = 2;
/** An overloaded owner gets this fraction of its capacity, so its queue ends. */
const TARGET_UTILIZATION = 0.9;
/** Smaller changes of a fraction are not worth a write of the row. */
const MIN_CHANGE = 0.1;
/** A few requests are always admitted, which show how the owner does. */
const MIN_FRACTION = 0.05;

/**
 * Decides which fraction of the requests for the keys of overloaded owners VMs
 * admit. Answers the load pattern of a key, or of adjacent keys, that get more
 * requests than their owner can serve until the keys have moved, or for good if
 * they are one key. A VM sees too few answers of one owner to know its queue.
 *
 * @param owners - load of each owner of keys
 * @param input - `sampleS`, the time over which the rates are averaged in
 * seconds, and `before`, the fractions in force by owner
 * @returns fractions below 1, by owner; `before` itself if none changes
 */
export function ownerAdmission(
  owners: readonly OwnerLoad[],
  { sampleS, before }: {
    sampleS: number;
    before: Readonly<Record<string, number>>;
  },
): Readonly<Record<string, number>> {
  const fractions: Record<string, number> = {};
  let changed = false;
  for (const { id, ratePerS, capacityPerS } of owners) {
    const known = before[id];
    const errorPerS = Math.sqrt(capacityPerS / sampleS);
    const limitPerS = known === undefined
      ? capacityPerS + MIN_EXCESS_Z_SCORE * errorPerS
      : capacityPerS * TARGET_UTILIZATION;
    if (ratePerS <= limitPerS) continue;
    const wanted = Math.max(
      MIN_FRACTION,
      capacityPerS * TARGET_UTILIZATION / ratePerS,
    );
    const keeps = known !== undefined && Math.abs(wanted - known) < MIN_CHANGE;
    fractions[id] = keeps ? known : Math.round(wanted * 100) / 100;
    changed ||= !keeps;
  }
  const sameOwners =
    Object.keys(fractions).length === Object.keys(before).length;
  return changed || !sameOwners ? fractions : before;
}
