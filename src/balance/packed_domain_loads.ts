import { z } from "zod";

const MAX_NAME_LENGTH = 200;
/** Far above what VMs send; bounds what a faulty one adds. */
const MAX_ITEMS = 300;
const Amount = z.number().nonnegative();
const Name = z.string().min(1).max(MAX_NAME_LENGTH);

/**
 * Loads as they are sent: without repeated names, since they are sent twice a
 * second.
 */
export const PackedDomainLoads = z.object({
  domains: z.array(Name).max(MAX_ITEMS),
  /**
   * By service, for each domain with load: index of the domain, requests in flight,
   * and arriving work per second, absent if 0.
   */
  loads: z.record(
    Name,
    z.array(
      z.union([
        z.tuple([z.int().nonnegative(), Amount, z.number()]),
        z.tuple([z.int().nonnegative(), Amount]),
      ]),
    ).max(MAX_ITEMS),
  ),
});
export type PackedDomainLoads = z.infer<typeof PackedDomainLoads>;
