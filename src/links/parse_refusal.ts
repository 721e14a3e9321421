import { Refusal } from "../base/refusal.ts";

/**
 * @param body - JSON body of a refusal
 * @returns the refusal, or undefined if the body does not hold one
 */
export function parseRefusal(body: Buffer): Refusal | undefined {
  try {
    return Refusal.safeParse(JSON.parse(body.toString("utf8"))).data;
  } catch {
    return undefined;
  }
}
