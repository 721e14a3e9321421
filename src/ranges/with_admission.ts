import { incarnationKey } from "./incarnation_key.ts";
import { ownerAdmission } from "./owner_admission.ts";
import type { RangeDocument } from "./range_document.ts";
import { RangeLoads } from "./range_loads.ts";

type Input = {
  upstreams: readonly {
    id: string;
    incarnation: number;
    capacityPerS: number;
  }[];
  /** Keys and their requests per second, in ascending order of keys. */
  rates: readonly (readonly [number, number])[];
  /** Time over which the rates are averaged, in seconds. */
  sampleS: number;
};

/**
 * Sets the fractions of requests that are admitted for overloaded owners.
 *
 * @param document - owners of a service's keys
 * @param input - upstreams and request rates of keys
 * @returns the document, which is the same object if no fraction changes
 */
export function withAdmission(
  document: RangeDocument,
  { upstreams, rates, sampleS }: Input,
): RangeDocument {
  const loads = new RangeLoads(rates);
  const ratesOf = new Map<string, number>();
  for (const { first, last, owner } of document.ranges) {
    const key = incarnationKey(owner);
    const before = ratesOf.get(key) ?? 0;
    ratesOf.set(key, before + loads.ratePerS(first, last));
  }
  const before = document.admission ?? {};
  const admission = ownerAdmission(
    upstreams.map((upstream) => ({
      id: upstream.id,
      ratePerS: ratesOf.get(incarnationKey(upstream)) ?? 0,
      capacityPerS: upstream.capacityPerS,
    })),
    { sampleS, before },
  );
  if (admission === before) return document;
  return Object.keys(admission).length === 0
    ? { ...document, admission: undefined }
    : { ...document, admission };
}
