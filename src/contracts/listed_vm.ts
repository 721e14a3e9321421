import { z } from "zod";

/** One VM as the platform's list shows it; the list lags behind reality. */
export const ListedVm = z.looseObject({
  id: z.string(),
  kind: z.enum(["entry", "upstream"]),
  /** `ip:port` of the upstream's HTTP listener; for entry VMs of the router. */
  address: z.string(),
  /** Service of an upstream VM. */
  service: z.string().optional(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(["live", "leaving"]),
});
export type ListedVm = z.infer<typeof ListedVm>;
