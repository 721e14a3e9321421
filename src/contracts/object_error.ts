/**
 * Why an object could not be read or written. `unavailable`: the connection or
 * the request was refused. `unknown`: a write may have taken effect.
 */
export type ObjectError =
  | { kind: "unavailable"; message: string }
  | { kind: "unknown"; message: string };
