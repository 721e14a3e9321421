import { createHash } from "node:crypto";

/**
 * Digest that stands for a key wherever the key itself must not appear (store
 * rows, messages, logs).
 *
 * @param service - name of the service whose key space holds the key
 * @param key - the key as the caller sent it
 * @returns the first 64 bits of SHA-256(service, 0x00, key) as 16 hex digits
 */
export function keyDigest(service: string, key: string): string {
  return createHash("sha256").update(service).update("\0").update(key)
    .digest("hex").slice(0, 16);
}
