import { setMaxListeners } from "node:events";
import type { Clock } from "../base/clock.ts";
import type { AcceptanceEvent } from "./acceptance_event.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";
import { AcceptancePoller } from "./acceptance_poller.ts";
import type { CatalogueMembers } from "./catalogue_members.ts";
import { isNotServing } from "./is_not_serving.ts";
import { withDeadline } from "./with_deadline.ts";

const ACCEPTANCE_TIMEOUT_MS = 10_000;
const MEMBERS_READ_INTERVAL_MS = 1000;
const CHECK_INTERVAL_MS = 100;
/** Most routers confirm within this time and need not be reported. */
const FIRST_PROGRESS_DELAY_MS = 200;
/** Limits the output, since the list of routers can be long. */
const MIN_PROGRESS_INTERVAL_MS = 500;

type Options = {
  /** The committed version. */
  version: number;
  members: CatalogueMembers;
  clock: Clock;
  /** Ends the wait without a final event. */
  signal: AbortSignal;
};

/**
 * Waits until every member has put a committed version in force or is provably
 * not serving; see section 8 of the design page.
 *
 * @param options - the version, the members, the clock and the signal
 * @returns events: `committed`, then `waiting` when the set of members that
 * have not confirmed changes, at most twice a second, and finally `accepted`
 * or, after 10 s, `committed_not_yet_in_force`
 */
export async function* awaitAcceptance(
  options: Options,
): AsyncGenerator<AcceptanceEvent, void, undefined> {
  const { version, members, clock } = options;
  const stopPolling = new AbortController();
  const signal = AbortSignal.any([options.signal, stopPolling.signal]);
  // Every member's task adds a listener; Node.js warns above 10 by default.
  setMaxListeners(0, signal);
  const poller = new AcceptancePoller({ version, members, clock, signal });
  const startedAt = clock.now();
  let listedMembers: AcceptanceMember[] | undefined;
  let listedAt = Number.NEGATIVE_INFINITY;
  let lastShown: string | undefined;
  let nextProgressAt = startedAt + FIRST_PROGRESS_DELAY_MS;

  try {
    yield { kind: "committed", version };
    while (!signal.aborted) {
      if (clock.now() - listedAt >= MEMBERS_READ_INTERVAL_MS) {
        const sentAt = clock.now();
        const read = await withDeadline(
          { clock, ms: MEMBERS_READ_INTERVAL_MS, signal },
          (inner) => members.list(inner),
        );
        if (read.isOk()) {
          listedMembers = read.value;
          listedAt = sentAt;
          poller.update(listedMembers);
        }
      }

      const now = clock.now();
      const elapsedMs = now - startedAt;
      const unconfirmed = listedMembers?.filter(({ vm }) =>
        !poller.isConfirmed(vm)
      );
      const notServing = unconfirmed?.filter((member) =>
        isNotServing({
          member,
          now,
          startedAt,
          listedAt,
          ...poller.olderVersionReports(member.vm),
          isConfirmed: (vm, incarnation) => poller.isConfirmed(vm, incarnation),
        })
      ).map(({ vm }) => vm);
      const vms = unconfirmed?.map(({ vm }) => vm)
        .filter((vm) => notServing?.includes(vm) !== true);
      if (vms?.length === 0) {
        yield {
          kind: "accepted",
          version,
          notServing: notServing ?? [],
          elapsedMs,
        };
        return;
      }
      const event = {
        version,
        ...(vms === undefined ? {} : { vms }),
        elapsedMs,
      };
      if (elapsedMs >= ACCEPTANCE_TIMEOUT_MS) {
        yield { kind: "committed_not_yet_in_force", ...event };
        return;
      }
      const waitingFor = vms?.join(" ") ?? "unknown";
      if (waitingFor !== lastShown && now >= nextProgressAt) {
        lastShown = waitingFor;
        nextProgressAt = now + MIN_PROGRESS_INTERVAL_MS;
        yield { kind: "waiting", ...event };
      }
      await waitForChange(poller, clock, signal);
    }
  } finally {
    stopPolling.abort();
    await poller.stopped();
  }
}

/**
 * Waits for a member's acknowledgement that it has put the version, or a newer
 * one, in force; for at most `CHECK_INTERVAL_MS`, or until `signal` aborts.
 */
async function waitForChange(
  poller: AcceptancePoller,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const done = new AbortController();
  const both = AbortSignal.any([signal, done.signal]);
  await Promise.race([
    poller.changed.next(both),
    clock.sleep(CHECK_INTERVAL_MS, both),
  ]);
  done.abort();
}
