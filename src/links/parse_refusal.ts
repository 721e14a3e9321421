import { Refusal } from "../base/refusal.ts";

/**
 * Parses the body of a refusal.
 *
 * @param body - body in JSON
 * @returns the refusal, or undefined if the body is malformed
 */
export function parseRefusal(body: Buffer): Refusal | undefined {
  try {
    return Refusal.safeParse(JSON.parse(body.toString("utf8"))).data;
  } catch {
    return undefined;
  }
}
