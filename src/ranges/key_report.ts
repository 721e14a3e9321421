import { z } from "zod";
import { DomainLoadMessage } from "../balance/domain_load_message.ts";

/** Report of a VM to the leader, and the leader's response. */
export const KeyReport = {
  method: "ranges.report",
  params: z.object({
    vm: z.string(),
    incarnation: z.string(),
    /** Keys and their number of requests since the last report, by service. */
    counts: z.record(
      z.string(),
      z.array(z.tuple([z.number().int(), z.number().int()])),
    ),
    /**
     * Slowdowns of upstreams: their typical service times relative to the mean,
     * by id. `speeds` is an outer name.
     */
    speeds: z.record(z.string(), z.number()),
    /** Upstreams that leave, which the registry does not say. */
    leaving: z.array(z.object({
      id: z.string(),
      incarnation: z.number().int(),
    })).optional(),
    /** Region and peer URL of the VM, which may become its region's relay. */
    region: z.string().optional(),
    peerUrl: z.string().optional(),
    /** Whether the store answered the VM's last calls. */
    canRelay: z.boolean().default(true),
    /** Of a relay: loads of its region. Malformed loads count as absent. */
    loads: DomainLoadMessage.ofRegions.optional().catch(undefined),
    /** Processor cores of the VM. */
    cores: z.number().positive().optional(),
  }),
  result: z.object({
    /** Whether the called VM is the leader; `keeper` is an outer name. */
    keeper: z.boolean(),
    /** Number of VMs that have reported recently, including the leader. */
    vms: z.number().int(),
    /** Report interval of VMs with requests, in milliseconds. */
    intervalMs: z.number().positive().optional(),
    /** Peer URL of the relay of the reporter's region. */
    relayUrl: z.string().optional(),
    /** To a relay: loads of all other regions. */
    loads: DomainLoadMessage.ofRegions.optional().catch(undefined),
  }),
};
