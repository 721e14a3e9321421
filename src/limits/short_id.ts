import { createHash } from "node:crypto";

/** 48 bits; two of 10,000 names have the same id with probability 2e-7. */
const ID_LENGTH = 8;

/**
 * Returns the short id of a tenant or a process in messages between VMs. Unlike a
 * position in the configuration, the id of a tenant is the same in all versions.
 *
 * @param name - name of a tenant, or incarnation of a process
 * @returns 8 characters of the URL-safe base64 alphabet
 */
export function shortId(name: string): string {
  return createHash("sha256").update(name).digest("base64url")
    .slice(0, ID_LENGTH);
}
