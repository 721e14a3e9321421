import type { Logger } from "../../src/base/logger.ts";

type Line = { level: string; args: unknown[] };

/**
 * @param lines - receives what is logged
 * @returns a logger that prints nothing
 */
export function silentLogger(lines: Line[] = []): Logger {
  const at = (level: string) => (...args: unknown[]) => {
    lines.push({ level, args });
    return true;
  };
  const logger: unknown = {
    debug: at("debug"),
    info: at("info"),
    warn: at("warn"),
    error: at("error"),
    child: () => silentLogger(lines),
  };
  return logger as Logger;
}
