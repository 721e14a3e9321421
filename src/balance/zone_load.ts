import { z } from "zod";

const MAX_NAME_LENGTH = 200;
const Amount = z.number().nonnegative();

/**
 * Load of one service in one failure domain, as a part of a sum over VMs. A
 * tuple, since it is sent every half second: service, failure domain, arrivals
 * per second (mean of about a second), arrivals per second (mean of about a
 * fifth of a second), requests in flight, and the sum of the slowdowns of their
 * upstreams.
 */
export const ZoneLoad = z.tuple([
  z.string().min(1).max(MAX_NAME_LENGTH),
  z.string().min(1).max(MAX_NAME_LENGTH),
  Amount,
  Amount,
  Amount,
  Amount,
]);
export type ZoneLoad = z.infer<typeof ZoneLoad>;
