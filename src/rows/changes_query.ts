import { z } from "zod";
import { ZoneLoadMessage } from "../balance/zone_load_message.ts";
import { TableChanges } from "./table_changes.ts";

/** Query of a VM to the relay of its region for changes of the store. */
export const ChangesQuery = {
  method: "rows.changes",
  params: z.object({
    /** Version up to which the calling VM knows the changes, by table. */
    known: z.record(z.string(), z.number()),
    /** Loads that the VM measured. Malformed loads count as absent. */
    loads: ZoneLoadMessage.fromVm.optional().catch(undefined),
  }),
  result: z.object({
    /** Changes by table, for the tables that the called VM can relay. */
    changes: z.record(z.string(), TableChanges),
    /** Loads over all VMs. */
    loads: ZoneLoadMessage.fromRelay.optional().catch(undefined),
  }),
};
