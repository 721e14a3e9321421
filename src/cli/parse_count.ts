import { InvalidArgumentError } from "commander";

/**
 * @param text - argument of an option
 * @returns the whole number that it names; commander reports other text as
 * wrong usage
 */
export function parseCount(text: string): number {
  if (!/^\d{1,10}$/.test(text)) {
    throw new InvalidArgumentError("a whole number is required.");
  }
  return Number(text);
}
