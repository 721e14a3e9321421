import { z } from "zod";

/** Faults that the platform stand-in can be told to have. */
export const PlatformFaults = z.object({
  /** Answers 503 to every call. */
  outage: z.boolean().default(false),
  /** Keeps connections open without an answer. */
  hang: z.boolean().default(false),
  /** Delay of every answer in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Number of writes that take effect and whose answer is lost. */
  loseAnswers: z.int().nonnegative().default(0),
  /** Only answers to transactions that write a key with this prefix. */
  loseAnswersOf: z.string().default(""),
  /** VMs whose calls are refused, by the `fescuerun-vm` header. */
  cutOff: z.array(z.string()).default([]),
});
export type PlatformFaults = z.infer<typeof PlatformFaults>;
