import { z } from "zod";

/**
 * How far this router may rely on the rows that it has read, see the design
 * page. `starting`: no poll of the table service has succeeded yet; `current`:
 * the last successful poll is recent enough; `outage`: it is not, but every
 * witness confirms that the table service is unreachable; `cut_off`: neither.
 */
export const StoreMode = z.enum(["starting", "current", "outage", "cut_off"]);
export type StoreMode = z.infer<typeof StoreMode>;
