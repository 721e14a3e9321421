/** Why a command failed. */
export type CliFailure = {
  exitCode: number;
  /** Stable code for scripts, from the router or from the command line. */
  code: string;
  message: string;
  data: Record<string, unknown>;
};
