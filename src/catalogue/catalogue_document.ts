import { z } from "zod";
import { Entry } from "./entry.ts";
import { Name } from "./name.ts";
import { Service } from "./service.ts";

/** The catalogue; operators change it as one versioned document. */
export const CatalogueDocument = z.strictObject({
  schema: z.literal(1),
  services: z.record(Name, Service),
  entries: z.record(Name, Entry),
  /** Failure domains and VMs taken out of service. */
  out: z.strictObject({
    failureDomains: z.array(Name).default([]),
    vms: z.array(Name).default([]),
  }).prefault({}),
});
export type CatalogueDocument = z.infer<typeof CatalogueDocument>;
