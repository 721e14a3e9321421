/**
 * Marks a switch as exhaustive: the compiler rejects the call while a variant
 * is left unhandled.
 *
 * @param value - the value that no case matched
 * @returns never; a value that reaches this at run time is a broken invariant
 */
export function assertNever(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
