/** A share of an entry's rate and concurrency limits. */
export type Share = { ratePerS: number; concurrency: number };
