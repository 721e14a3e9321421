/** Variables of a request to the administration interface, for hono. */
export type AdminEnv = {
  Variables: {
    /** Name of the operator whose credential the request has. */
    operator: string;
  };
};
