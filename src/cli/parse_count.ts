import { InvalidArgumentError } from "commander";

/**
 * Parses a whole number of at most ten digits.
 *
 * @param text - argument of an option
 * @returns the number; for other text it throws, which commander reports as
 * wrong usage
 */
export function parseCount(text: string): number {
  if (!/^\d{1,10}$/.test(text)) {
    throw new InvalidArgumentError("a whole number is required.");
  }
  return Number(text);
}
