import { z } from "zod";
import { PackedZoneLoads } from "./packed_zone_loads.ts";

/** Parts of messages between VMs that carry loads. */
export const ZoneLoadMessage = {
  /** Of a VM, to the relay of its region. */
  fromVm: z.object({
    vm: z.string(),
    own: PackedZoneLoads,
    /** Whether the VM wants the loads in other regions as well. */
    far: z.boolean().optional(),
  }),
  /** Of the relay, to a VM. */
  fromRelay: z.object({
    near: PackedZoneLoads,
    /** Loads in other regions. */
    far: PackedZoneLoads.optional(),
  }),
  /**
   * Of a relay, to the leader: the sums over the VMs of its region; and of the
   * leader, to a relay: the sums over all other regions.
   */
  ofRegions: PackedZoneLoads,
};
