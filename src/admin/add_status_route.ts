import type { Hono } from "hono";
import { ConcurrencyLimit } from "../catalogue/task_limit.ts";
import { withDeadline } from "../catalogue/with_deadline.ts";
import { CoordinatorRow } from "../regions/coordinator_row.ts";
import type { MemberRow } from "../vms/member_row.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import type { StatusAnswer } from "./status_answer.ts";

const STATUS_TIMEOUT_MS = 3000;
const MAX_CONCURRENT_STATUS_CALLS = 256;

async function readMemberStatus(
  ctx: AdminContext,
  member: MemberRow,
  signal: AbortSignal,
): Promise<StatusAnswer["members"][number]> {
  const { vm, region, failureDomain, incarnation, peerUrl } = member;
  const version = ctx.catalogue.version;
  const status = signal.aborted
    ? undefined
    : await ctx.catalogueMembers.status(peerUrl, version, signal);
  // The address of a lost router may have been given to another one.
  const ownStatus = status?.vm === vm ? status : undefined;
  return {
    vm,
    region,
    failureDomain,
    incarnation: ownStatus?.incarnation ?? incarnation,
    version: ownStatus?.version ?? null,
    mode: ownStatus?.mode ?? null,
  };
}

async function readCoordinators(
  ctx: AdminContext,
  signal: AbortSignal,
): Promise<StatusAnswer["coordinators"]> {
  const read = await ctx.table.readRows(
    { prefix: "coordinators/", since: 0 },
    signal,
  );
  return read.map(({ rows }) =>
    rows.flatMap(({ value }) => {
      const row = CoordinatorRow.safeParse(value).data;
      return row === undefined
        ? []
        : [{ region: row.region, vm: row.vm, epoch: row.epoch }];
    })
  ).unwrapOr(null);
}

async function readCommitted(ctx: AdminContext): Promise<number | null> {
  const read = await ctx.editor.read(ctx.signal);
  return read.map(({ row }) => row?.version ?? 0).unwrapOr(null);
}

/**
 * Adds the route that shows the state of this router and of every registered
 * one.
 *
 * @param app - receives the route
 * @param ctx - catalogue, members, peers and contact with the store
 */
export function addStatusRoute(app: Hono<AdminEnv>, ctx: AdminContext): void {
  app.get("/v1/status", async (c) => {
    const limit = new ConcurrencyLimit(MAX_CONCURRENT_STATUS_CALLS);
    const [committedVersion, [coordinators, members]] = await Promise.all([
      readCommitted(ctx),
      withDeadline(
        { clock: ctx.clock, ms: STATUS_TIMEOUT_MS, signal: ctx.signal },
        (signal) =>
          Promise.all([
            readCoordinators(ctx, signal),
            Promise.all(
              ctx.members.all().map((member) =>
                limit.run(() => readMemberStatus(ctx, member, signal))
              ),
            ),
          ]),
      ),
    ]);
    return c.json(
      {
        vm: ctx.vm,
        region: ctx.region,
        mode: ctx.contact.mode(),
        catalogueVersion: ctx.catalogue.version,
        committedVersion,
        coordinators,
        members,
      } satisfies StatusAnswer,
    );
  });
}
