/** Options of every command that calls a router; local ones have `json` only. */
export type CommonOptions = {
  admin?: string;
  credentialFile?: string;
  json?: true;
};
