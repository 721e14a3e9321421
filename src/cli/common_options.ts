/** Options of every command that calls a router. */
export type CommonOptions = {
  admin?: string;
  credentialFile?: string;
  json?: true;
};
