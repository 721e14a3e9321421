import { z } from "zod";

/** Row `members/<vm>` of the table service, written by the router itself. */
export const MemberRow = z.looseObject({
  schema: z.literal(1),
  vm: z.string(),
  /** Random for each process; distinguishes a router from its predecessor. */
  incarnation: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  /** Base URL of the peer listener, e.g. `http://10.0.0.4:8081`. */
  peerUrl: z.string(),
  /**
   * VMs that confirm an outage of the table service to this router, see the
   * design page, section 7.
   */
  witnesses: z.array(z.string()),
  /**
   * Incarnation of each witness when the row was written. Only that process
   * counts as a witness: a restarted router does not know earlier promises.
   */
  witnessIncarnations: z.record(z.string(), z.string()).optional(),
});
export type MemberRow = z.infer<typeof MemberRow>;
