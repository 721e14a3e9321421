import type { Logger } from "../../src/base/logger.ts";

const nothing = () => undefined;

/** Drops every log line. */
export const silentLogger = {
  debug: nothing,
  info: nothing,
  warn: nothing,
  error: nothing,
  child: () => silentLogger,
} as unknown as Logger;
