const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * @param status - status of a response, as a parser of HTTP read it
 * @returns whether HTTP defines the class of the status; no conclusion can be
 * drawn from a response with another one
 */
export function isHttpStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
