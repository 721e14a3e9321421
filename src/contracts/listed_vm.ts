import { z } from "zod";

/** An item of the platform's VM list, which may be out of date. */
export const ListedVm = z.looseObject({
  id: z.string(),
  kind: z.enum(["entry", "upstream"]),
  /** `ip:port` of the upstream's HTTP listener; on entry VMs, the router's. */
  address: z.string(),
  /** Service of an upstream VM. */
  service: z.string().optional(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(["live", "leaving"]),
});
export type ListedVm = z.infer<typeof ListedVm>;
