import type { RequestCredential } from "../tenants/request_credential.ts";
import type { Tenant } from "../tenants/tenant.ts";

/** A caller's request, after its body has been read completely. */
export type CallerCall = {
  /** Chosen by the caller. */
  requestId: string;
  method: string;
  /** Path and query, as received. */
  target: string;
  host: string | undefined;
  /** Headers to pass on, by lower-case name. */
  headers: Record<string, string | string[]>;
  body: Uint8Array | undefined;
  /** When its headers were received, in monotonic milliseconds. */
  receivedAt: number;
  /**
   * How long the caller waits from `receivedAt` on, in milliseconds; undefined
   * if its headers specify no time.
   */
  deadlineMs: number | undefined;
  /** Number of the key, for keyed services. */
  key: number | undefined;
  /** Its API key; absent counts as none. */
  credential?: RequestCredential;
  /** Set by the router; absent if no key was required. */
  tenant?: Tenant;
};
