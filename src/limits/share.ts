/** A part of an entry's limits. */
export type Share = { ratePerS: number; concurrency: number };
