import type { Logger } from "../../src/base/logger.ts";

const discard = () => true;
const logger: unknown = {
  debug: discard,
  info: discard,
  warn: discard,
  error: discard,
  child: () => logger,
};

/** A logger that writes nothing. */
export const quietLogger = logger as Logger;
