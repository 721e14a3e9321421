import { z } from "zod";
import { DomainLoadMessage } from "../balance/domain_load_message.ts";
import { TableChanges } from "./table_changes.ts";

/** Query of a VM to the relay of its region for changes of the store. */
export const ChangesQuery = {
  method: "rows.changes",
  params: z.object({
    /** Version up to which the calling VM knows the changes, by table. */
    known: z.record(z.string(), z.number()),
    /**
     * Versions of the rows to which the calling VM can apply differences, by
     * table and key. Relays of earlier releases ignore it.
     */
    rows: z.record(z.string(), z.record(z.string(), z.number())).optional(),
    /** Era of the store to which these versions belong, by table; 0 if absent. */
    eras: z.record(z.string(), z.number()).optional(),
    /** Loads that the VM measured. Malformed loads count as absent. */
    loads: DomainLoadMessage.fromVm.optional().catch(undefined),
  }),
  result: z.object({
    /** Changes by table, for the tables that the called VM can relay. */
    changes: z.record(z.string(), TableChanges),
    /** Loads over all VMs. */
    loads: DomainLoadMessage.fromRelay.optional().catch(undefined),
  }),
};
