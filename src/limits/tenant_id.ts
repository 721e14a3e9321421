import { createHash } from "node:crypto";

/** 48 bits; two of 10,000 tenants share an id with probability 2e-7. */
const ID_LENGTH = 8;

/**
 * Returns the short id of a tenant in messages between VMs. Unlike a position in
 * the configuration, it is the same in all versions.
 *
 * @param name - name of the tenant
 * @returns 8 characters of the URL-safe base64 alphabet
 */
export function tenantId(name: string): string {
  return createHash("sha256").update(name).digest("base64url")
    .slice(0, ID_LENGTH);
}
