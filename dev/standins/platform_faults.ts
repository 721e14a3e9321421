import { z } from "zod";

/** Faults of the platform stand-in. */
export const PlatformFaults = z.object({
  /** Answers 503 to every call except those for the VM list. */
  outage: z.boolean().default(false),
  /** Leaves every call unanswered, with its connection open. */
  hang: z.boolean().default(false),
  /** Delay of every answer in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Number of transactions that will be committed without an answer. */
  loseAnswers: z.int().nonnegative().default(0),
  /** Limits `loseAnswers` to transactions that write a key with this prefix. */
  loseAnswersOf: z.string().default(""),
  /** VMs, by the `fescuerun-vm` header, whose connections are closed. */
  cutOff: z.array(z.string()).default([]),
});
export type PlatformFaults = z.infer<typeof PlatformFaults>;
