import { createHash, timingSafeEqual } from "node:crypto";
import type { Settings } from "../settings/settings.ts";

/**
 * Compares in constant time, and with every operator, so that the time of an
 * answer tells nothing about the credentials.
 *
 * @param credential - what the client sent
 * @param operators - names and SHA-256 values of the settings
 * @returns name of the operator, or undefined for a wrong credential
 */
export function findOperator(
  credential: string,
  operators: Settings["admin"]["operators"],
): string | undefined {
  const digest = createHash("sha256").update(credential).digest();
  let found: string | undefined;
  for (const { name, sha256 } of operators) {
    if (timingSafeEqual(digest, Buffer.from(sha256, "hex"))) found ??= name;
  }
  return found;
}
