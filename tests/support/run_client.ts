import { execFile } from "node:child_process";

/**
 * Runs the operators' client (`dist/fescuerun.cjs`) as a process.
 *
 * @param at - URL of the administration interface and credential file
 * @param args - arguments of the client
 * @returns exit code and output
 */
export function runClient(
  at: { adminUrl: string; credentialFile: string },
  ...args: string[]
): Promise<{ code: number; out: string; err: string }> {
  const all = [
    "dist/fescuerun.cjs",
    ...args,
    "--admin",
    at.adminUrl,
    "--credential-file",
    at.credentialFile,
  ];
  return new Promise((resolve) => {
    const child = execFile(process.execPath, all, (_, out, err) => {
      resolve({ code: child.exitCode ?? -1, out, err });
    });
  });
}
