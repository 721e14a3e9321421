/** What commands read and write, so that tests can run them in-process. */
export type CliContext = {
  /** Writes a line to standard output. */
  out: (line: string) => void;
  /** Writes a line to standard error. */
  err: (line: string) => void;
  env: Readonly<Record<string, string | undefined>>;
  /** Exit code of the command that ran. */
  exitCode: number;
};
