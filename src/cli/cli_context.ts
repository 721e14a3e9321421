/** Environment and output of commands; tests replace them to run in-process. */
export type CliContext = {
  /** Writes a line to standard output. */
  out: (line: string) => void;
  /** Writes a line to standard error. */
  err: (line: string) => void;
  env: Readonly<Record<string, string | undefined>>;
  /** Exit code that the command has set. */
  exitCode: number;
};
