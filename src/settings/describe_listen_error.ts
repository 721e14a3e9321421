import type { DocumentProblem } from "./document_problem.ts";
import type { Settings } from "./settings.ts";

const ERROR_DESCRIPTIONS: Readonly<Record<string, string>> = {
  EADDRINUSE: "which is in use",
  EADDRNOTAVAIL: "which is not an address of this VM",
  EACCES: "which this user may not listen on",
};

/**
 * @param cfg - the settings in use
 * @param thrown - error that kept the router from starting
 * @returns the problem with an address of `listen`, or undefined if the error
 * is no listen error
 */
export function describeListenError(
  cfg: Pick<Settings, "listen">,
  thrown: unknown,
): DocumentProblem | undefined {
  if (!(thrown instanceof Error) || !("syscall" in thrown)) return undefined;
  const { syscall, code, address, port } = thrown as NodeJS.ErrnoException & {
    address?: string;
    port?: number;
  };
  if (syscall !== "listen") return undefined;
  const host = address?.includes(":") === true ? `[${address}]` : address;
  const found = `${host}:${port}`;
  const name = Object.entries(cfg.listen).find(([, listenAddress]) =>
    listenAddress === found
  )?.[0];
  return {
    path: name === undefined ? ["listen"] : ["listen", name],
    found: `${found}, ${
      ERROR_DESCRIPTIONS[code ?? ""] ?? `an error (${code})`
    }`,
    allowed: "a free address of this VM",
  };
}
