/**
 * `callers` may use the memory for clients. `others`, which are readiness
 * checks, readers of metrics and other VMs, may use a reserve in addition, so
 * that callers cannot lock them out.
 */
export type ClientKind = "callers" | "others";
