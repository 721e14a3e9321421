/**
 * Marks a switch as exhaustive: the call does not compile while a variant is
 * unhandled.
 *
 * @param value - the value that no case matched
 * @returns never; throws if an unhandled variant occurs at run time, which is
 * a bug
 */
export function assertNever(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
