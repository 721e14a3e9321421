import { createHash } from "node:crypto";

/**
 * @param key - an API key, as text or as its UTF-8 bytes
 * @returns its SHA-256 digest in hexadecimal
 */
export function apiKeyDigest(key: string | Uint8Array): string {
  return createHash("sha256").update(key).digest("hex");
}
