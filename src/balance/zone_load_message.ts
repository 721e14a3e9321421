import { z } from "zod";
import { ZoneLoad } from "./zone_load.ts";

/** Far above what VMs send; bounds what a faulty one adds. */
const MAX_LOADS = 1000;
const Loads = z.array(ZoneLoad).max(MAX_LOADS);

/** Parts of messages between VMs that carry loads. */
export const ZoneLoadMessage = {
  /** Of a VM, to the relay of its region. */
  fromVm: z.object({
    vm: z.string(),
    loads: Loads,
    /** Whether the VM wants the loads in other regions as well. */
    far: z.boolean(),
  }),
  /** Of the relay, to a VM. */
  fromRelay: z.object({
    near: Loads,
    /** Loads in other regions. */
    far: Loads.optional(),
  }),
  /**
   * Of a relay, to the leader: the sums over the VMs of its region; and of the
   * leader, to a relay: the sums over all other regions.
   */
  ofRegions: Loads,
};
