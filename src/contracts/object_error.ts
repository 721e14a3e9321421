/** Why an object could not be read or written. */
export type ObjectError =
  | { kind: "unavailable"; message: string }
  | { kind: "unknown"; message: string };
