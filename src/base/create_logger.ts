import bunyan from "bunyan";
import type { Logger } from "./logger.ts";

/**
 * Creates the logger of a router.
 *
 * @param cfg - log level, and the VM and region that every line contains
 * @returns a logger that writes JSON lines to standard output
 */
export function createLogger(
  cfg: { level: bunyan.LogLevelString; vm: string; region: string },
): Logger {
  return bunyan.createLogger({
    name: "fescuerun",
    level: cfg.level,
    vm: cfg.vm,
    region: cfg.region,
    serializers: { err: bunyan.stdSerializers.err },
  });
}
