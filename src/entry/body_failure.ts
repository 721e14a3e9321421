import type { Refusal } from "../base/refusal.ts";

/** Error of a body stream that the caller caused, not the router. */
export class BodyFailure extends Error {
  readonly code: Refusal["code"];

  /**
   * @param code - the refusal code for the caller
   * @param message - what was wrong with the body
   */
  constructor(code: Refusal["code"], message: string) {
    super(message);
    this.name = "BodyFailure";
    this.code = code;
  }
}
