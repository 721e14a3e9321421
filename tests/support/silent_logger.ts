import type { Logger } from "../../src/base/logger.ts";

type Line = { level: string; args: unknown[] };

/**
 * @param lines - receives the logged lines
 * @returns a logger that prints nothing
 */
export function silentLogger(lines: Line[] = []): Logger {
  const record = (level: string) => (...args: unknown[]) => {
    lines.push({ level, args });
    return true;
  };
  const logger: unknown = {
    debug: record("debug"),
    info: record("info"),
    warn: record("warn"),
    error: record("error"),
    child: () => silentLogger(lines),
  };
  return logger as Logger;
}
