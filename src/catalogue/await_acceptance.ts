import { setMaxListeners } from "node:events";
import type { Clock } from "../base/clock.ts";
import type { AcceptanceEvent } from "./acceptance_event.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";
import { AcceptanceWatch } from "./acceptance_watch.ts";
import type { CatalogueMembers } from "./catalogue_members.ts";
import { isNotServing } from "./is_not_serving.ts";
import { withDeadline } from "./with_deadline.ts";

const GIVE_UP_MS = 10_000;
const MEMBERS_READ_MS = 1000;
const CHECK_MS = 100;
/** Most routers confirm within this time and need not be shown. */
const FIRST_REPORT_MS = 200;
/** The list of routers can be long. */
const REPORT_MS = 500;

type Options = {
  /** The committed version. */
  version: number;
  members: CatalogueMembers;
  clock: Clock;
  /** Ends the wait without a last event. */
  signal: AbortSignal;
};

/**
 * Waits until every member has put a committed version in force or is provably
 * not serving, see the design page, section 8.
 *
 * @param options - the version, the members, the clock and the signal
 * @returns events: `committed`, then `waiting` when the set of members that have
 * not confirmed changes, at most twice a second, and at last `accepted` or, after 10 s,
 * `committed_not_yet_in_force`
 */
export async function* awaitAcceptance(
  options: Options,
): AsyncGenerator<AcceptanceEvent, void, undefined> {
  const { version, members, clock } = options;
  const ended = new AbortController();
  const signal = AbortSignal.any([options.signal, ended.signal]);
  // Each member's task listens to it; the default warns above 10 listeners.
  setMaxListeners(0, signal);
  const watch = new AcceptanceWatch({ version, members, clock, signal });
  const startedAt = clock.now();
  let listed: AcceptanceMember[] | undefined;
  let listedAt = Number.NEGATIVE_INFINITY;
  let shown: string | undefined;
  let reportAt = startedAt + FIRST_REPORT_MS;

  try {
    yield { kind: "committed", version };
    while (!signal.aborted) {
      if (clock.now() - listedAt >= MEMBERS_READ_MS) {
        const sentAt = clock.now();
        const read = await withDeadline(
          { clock, ms: MEMBERS_READ_MS, signal },
          (inner) => members.list(inner),
        );
        if (read.isOk()) {
          listed = read.value;
          listedAt = sentAt;
          watch.update(listed);
        }
      }

      const now = clock.now();
      const elapsedMs = now - startedAt;
      const open = listed?.filter(({ vm }) => !watch.isConfirmed(vm));
      const notServing = open?.filter((member) =>
        isNotServing({
          member,
          now,
          startedAt,
          listedAt,
          ...watch.older(member.vm),
          isConfirmed: (vm, incarnation) => watch.isConfirmed(vm, incarnation),
        })
      ).map(({ vm }) => vm);
      const vms = open?.map(({ vm }) => vm)
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
      if (elapsedMs >= GIVE_UP_MS) {
        yield { kind: "committed_not_yet_in_force", ...event };
        return;
      }
      const waitingFor = vms?.join(" ") ?? "unknown";
      if (waitingFor !== shown && now >= reportAt) {
        shown = waitingFor;
        reportAt = now + REPORT_MS;
        yield { kind: "waiting", ...event };
      }
      await nextCheck(watch, clock, signal);
    }
  } finally {
    ended.abort();
    await watch.ended();
  }
}

/** Ends both waits when one of them has ended. */
async function nextCheck(
  watch: AcceptanceWatch,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const done = new AbortController();
  const both = AbortSignal.any([signal, done.signal]);
  await Promise.race([watch.changed.next(both), clock.sleep(CHECK_MS, both)]);
  done.abort();
}
