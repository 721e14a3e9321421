import { createHash, timingSafeEqual } from "node:crypto";
import type { Settings } from "../settings/settings.ts";

/**
 * Finds the operator of a credential. Compares in constant time, and with every
 * operator, so that the response time reveals nothing about the credentials.
 *
 * @param credential - credential that the client sent
 * @param operators - names of the operators and the SHA-256 digests of their
 * credentials, from the settings
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
