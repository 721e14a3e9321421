import { z } from "zod";

/** What a VM tells the leader, and the leader's answer. */
export const KeyReport = {
  method: "ranges.report",
  params: z.object({
    vm: z.string(),
    incarnation: z.string(),
    /** Requests for keys since the last report, by service. */
    counts: z.record(
      z.string(),
      z.array(z.tuple([z.number().int(), z.number().int()])),
    ),
    /** Usual time of work at upstreams with keys, relative to the mean. */
    speeds: z.record(z.string(), z.number()),
    /** Where the VM is, and its peer URL; it may become its region's relay. */
    region: z.string().optional(),
    peerUrl: z.string().optional(),
    /** Whether the store answers this VM, as far as it knows. */
    canRelay: z.boolean().default(true),
    /** Processor cores of the VM. */
    cores: z.number().positive().optional(),
  }),
  result: z.object({
    /** Whether the called VM is the leader. */
    keeper: z.boolean(),
    /** VMs that have reported lately, the leader included. */
    vms: z.number().int(),
    /** Time in milliseconds after which a busy VM reports again. */
    intervalMs: z.number().positive().optional(),
    /** Peer URL of the VM that follows the store for the reporter's region. */
    relayUrl: z.string().optional(),
  }),
};
