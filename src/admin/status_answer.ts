import { z } from "zod";
import { StoreMode } from "../vms/store_mode.ts";

/** State of the router that answers, and of the registered routers. */
export const StatusAnswer = z.object({
  vm: z.string(),
  region: z.string(),
  mode: StoreMode,
  /** Version in force on this router, 0 before the first. */
  catalogueVersion: z.int().nonnegative(),
  /** Newest committed version; null when the store cannot be read. */
  committedVersion: z.int().nonnegative().nullable(),
  /** Coordinator of each region; null when the store cannot be read. */
  coordinators: z.array(z.object({
    region: z.string(),
    vm: z.string(),
    epoch: z.int(),
  })).nullable(),
  members: z.array(z.object({
    vm: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    incarnation: z.string(),
    /** Null if the router did not answer the status call in time. */
    version: z.int().nonnegative().nullable(),
    mode: StoreMode.nullable(),
  })),
});
export type StatusAnswer = z.infer<typeof StatusAnswer>;
