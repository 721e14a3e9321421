import { createHash } from "node:crypto";

/**
 * Returns the digest that replaces a key wherever the key itself must not
 * appear (store rows, messages, logs).
 *
 * @param service - name of the service that the key belongs to; equal keys of
 * two services have different digests
 * @param key - the key as the caller sent it
 * @returns the first 64 bits of SHA-256(service, 0x00, key) as 16 hex digits
 */
export function keyDigest(service: string, key: string): string {
  return createHash("sha256").update(service).update("\0").update(key)
    .digest("hex").slice(0, 16);
}
