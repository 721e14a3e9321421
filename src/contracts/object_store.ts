import type { ResultAsync } from "neverthrow";
import type { ObjectError } from "./object_error.ts";

/** The platform's object store. */
export interface ObjectStore {
  /**
   * @param name - object name, path segments separated by `/`
   * @param body - the whole content; replaces an earlier object
   * @param signal - cancels the call; its outcome is then `unknown`
   * @returns nothing, or the error
   */
  put(
    name: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): ResultAsync<void, ObjectError>;

  /**
   * @param name - object name
   * @param signal - cancels the call
   * @returns the content, or undefined if there is no such object
   */
  get(
    name: string,
    signal: AbortSignal,
  ): ResultAsync<Uint8Array | undefined, ObjectError>;

  /**
   * @param name - object name; deleting an absent object succeeds
   * @param signal - cancels the call; its outcome is then `unknown`
   * @returns nothing, or the error
   */
  delete(name: string, signal: AbortSignal): ResultAsync<void, ObjectError>;
}
