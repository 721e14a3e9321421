import { apiKeyDigest } from "./api_key_digest.ts";

/**
 * The API key that a request presents. Only its digest can be read, so that the
 * key itself appears in no log line and no error.
 */
export class RequestCredential {
  #readKey: (() => Uint8Array | undefined) | undefined;
  #digest: string | undefined;
  /** Name of the tenant for which the limiter has admitted the request. */
  admittedTenant: string | undefined;

  /**
   * @param readKey - returns the bytes of the key; undefined if the request
   * presents none, several, or a malformed one. Called at most once, and only
   * where a configuration requires keys
   */
  constructor(readKey: () => Uint8Array | undefined) {
    this.#readKey = readKey;
  }

  /**
   * @returns digest of the key, as in `Tenant.keyDigests`; undefined without a
   * key
   */
  get digest(): string | undefined {
    if (this.#readKey !== undefined) {
      const key = this.#readKey();
      this.#readKey = undefined;
      if (key !== undefined) this.#digest = apiKeyDigest(key);
    }
    return this.#digest;
  }
}
