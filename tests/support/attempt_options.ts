import { httpHeaders } from "../../platform/http_headers.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import type { attempt } from "../../src/direct/attempt.ts";
import type { Upstream } from "../../src/direct/upstream.ts";
import { ByteBudget } from "../../src/limits/byte_budget.ts";
import { testCall } from "./test_call.ts";

type Options = Parameters<typeof attempt>[0];

const ANSWER_MEMORY_BYTES = 32 * 1024 * 1024;
const DEADLINE_MS = 5000;

/**
 * @param upstream - the upstream of the attempt
 * @param fields - fields that differ from the first attempt of an idempotent
 * request that has 5 s left, at an upstream that accepts two connections
 * @returns options of an attempt
 */
export function attemptOptions(
  upstream: Upstream,
  fields: Partial<Options> = {},
): Options {
  return {
    call: testCall(),
    upstream,
    idempotent: true,
    protocol: httpHeaders,
    clock: systemClock,
    deadlineAt: systemClock.now() + DEADLINE_MS,
    maxConnections: 2,
    sentOn: new Set(),
    mayStillSend: () => true,
    onSent: () => undefined,
    answerMemory: new ByteBudget(ANSWER_MEMORY_BYTES),
    ...fields,
  };
}
