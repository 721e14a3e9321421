import { z } from "zod";

/** How far this router may trust what it knows, see the design page. */
export const StoreMode = z.enum(["starting", "current", "outage", "cut_off"]);
export type StoreMode = z.infer<typeof StoreMode>;
