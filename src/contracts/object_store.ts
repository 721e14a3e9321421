import type { ResultAsync } from "neverthrow";
import type { ObjectError } from "./object_error.ts";

/** The platform's object store. */
export interface ObjectStore {
  /**
   * @param name - object name, path segments divided by `/`
   * @param body - the whole content; replaces an earlier object
   * @param signal - gives up waiting; the outcome is then `unknown`
   * @returns nothing, or why the outcome is not success
   */
  put(
    name: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): ResultAsync<void, ObjectError>;

  /**
   * @param name - object name
   * @param signal - gives up waiting
   * @returns the content, or undefined when there is no such object
   */
  get(
    name: string,
    signal: AbortSignal,
  ): ResultAsync<Uint8Array | undefined, ObjectError>;

  /**
   * @param name - object name; a missing object is a success
   * @param signal - gives up waiting; the outcome is then `unknown`
   * @returns nothing, or why the outcome is not success
   */
  delete(name: string, signal: AbortSignal): ResultAsync<void, ObjectError>;
}
