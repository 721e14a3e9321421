import type bunyan from "bunyan";

/**
 * Log calls take a record of fields, then the message. Fields never contain a
 * body, a key, a path, a query or a credential.
 */
export type Logger = Pick<
  bunyan,
  "debug" | "info" | "warn" | "error" | "child"
>;
