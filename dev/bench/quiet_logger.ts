import type { Logger } from "../../src/base/logger.ts";

const quiet = () => true;
const lines: unknown = {
  debug: quiet,
  info: quiet,
  warn: quiet,
  error: quiet,
  child: () => lines,
};

/** A logger that writes nothing. */
export const quietLogger = lines as Logger;
