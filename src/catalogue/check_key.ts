import { err, ok, type Result } from "neverthrow";

const MAX_KEY_BYTES = 512;

/**
 * @param key - a key as extracted from a request or given by an operator
 * @returns the key, or `bad_key` if it is empty or exceeds 512 bytes of UTF-8
 */
export function checkKey(key: string): Result<string, "bad_key"> {
  return key === "" || Buffer.byteLength(key) > MAX_KEY_BYTES
    ? err("bad_key")
    : ok(key);
}
