import type { Hono } from "hono";
import { z } from "zod";
import type { CatalogueRow } from "../catalogue/catalogue_row.ts";
import { catalogueKeys } from "../catalogue/catalogue_keys.ts";
import { checkCatalogueValue } from "../catalogue/check_catalogue_value.ts";
import { diffCatalogues } from "../catalogue/diff_catalogues.ts";
import { readCatalogue } from "../catalogue/read_catalogue.ts";
import { readHistory } from "../catalogue/read_history.ts";
import { withDeadline } from "../catalogue/with_deadline.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import type { AdminError } from "./admin_error.ts";
import type { CatalogueAnswer } from "./catalogue_answer.ts";
import { checkStoreContact } from "./check_store_contact.ts";
import { fromEditError } from "./from_edit_error.ts";
import type { HistoryPage } from "./history_page.ts";
import { readBody } from "./read_body.ts";
import { sendError } from "./send_error.ts";
import { streamProgress } from "./stream_progress.ts";
import { summarizeChanges } from "./summarize_changes.ts";

const TABLE_TIMEOUT_MS = 2000;

const ApplyBody = z.strictObject({
  expectedVersion: z.int().nonnegative(),
  document: z.unknown(),
});

const HistoryQuery = z.object({
  before: z.coerce.number().int().positive().optional(),
  limit: z.coerce.number().int().min(1).max(100).default(20),
});

const NO_CATALOGUE: AdminError = {
  code: "no_catalogue",
  message: "there is no catalogue yet",
  data: {},
};

function toAnswer(
  row: CatalogueRow,
  source: CatalogueAnswer["source"],
): CatalogueAnswer {
  const { version, author, at, document } = row;
  return { version, author, at, source, document };
}

/**
 * Adds the routes that read and replace the catalogue.
 *
 * @param app - receives the routes
 * @param ctx - catalogue editor and view, audit trail and members
 */
export function addCatalogueRoutes(
  app: Hono<AdminEnv>,
  ctx: AdminContext,
): void {
  app.get("/v1/catalogue", async (c) => {
    const read = await ctx.editor.read(ctx.signal);
    if (read.isOk()) {
      const { row } = read.value;
      return row === undefined
        ? sendError(c, NO_CATALOGUE)
        : c.json(toAnswer(row, "store"));
    }
    const known = ctx.catalogue.current;
    return known !== undefined && read.error.kind === "unavailable"
      ? c.json(toAnswer(known, "router"))
      : sendError(c, fromEditError(read.error));
  });

  app.put("/v1/catalogue", async (c) => {
    const body = await readBody(c, ApplyBody);
    if (body.isErr()) return sendError(c, body.error);
    const { expectedVersion } = body.value;
    const author = c.get("operator");
    const action = "catalogue.apply";
    const contact = checkStoreContact(ctx);
    if (contact.isErr()) return sendError(c, contact.error);
    const checked = checkCatalogueValue(body.value.document);
    if (checked.isErr()) {
      const problems = checked.error;
      await ctx.audit.writeRefused({
        actor: author,
        action,
        version: expectedVersion,
        details: { code: "invalid_catalogue", problems: problems.length },
      });
      return sendError(c, fromEditError({ kind: "invalid", problems }));
    }

    const document = checked.value;
    const before = await ctx.editor.read(ctx.signal);
    if (before.isErr()) return sendError(c, fromEditError(before.error));
    const base = before.value.row?.document;
    const changes = base === undefined ? [] : diffCatalogues(base, document);
    const edited = await ctx.editor.apply({
      document,
      expectedVersion,
      author,
      action,
      details: summarizeChanges(changes),
    }, ctx.signal);
    if (edited.isErr()) return sendError(c, fromEditError(edited.error));
    const { version } = edited.value;
    ctx.catalogue.adopt(edited.value);
    ctx.logger.info(
      { code: "catalogue_committed", version, operator: author },
      "catalogue change committed",
    );
    return streamProgress(c, ctx, { version, changed: true });
  });

  app.get("/v1/catalogue/history", async (c) => {
    const query = HistoryQuery.safeParse(c.req.query());
    if (!query.success) {
      return sendError(c, {
        code: "bad_request",
        message: "before is a version, limit is from 1 to 100",
        data: {},
      });
    }
    const read = await ctx.editor.read(ctx.signal);
    if (read.isErr()) return sendError(c, fromEditError(read.error));
    const newest = read.value.row?.version ?? 0;
    const { before, limit } = query.data;
    const from = Math.min(newest, (before ?? Infinity) - 1);
    const items = await readHistory({
      table: ctx.table,
      clock: ctx.clock,
      signal: ctx.signal,
      from,
      limit,
    });
    if (items.isErr()) {
      return sendError(
        c,
        fromEditError({ kind: "unavailable", message: items.error.message }),
      );
    }
    const oldest = Math.max(1, from - limit + 1);
    return c.json(
      {
        versions: items.value,
        next: oldest > 1 ? oldest : null,
      } satisfies HistoryPage,
    );
  });

  app.get("/v1/catalogue/history/:version{[1-9][0-9]{0,9}}", async (c) => {
    const version = Number(c.req.param("version"));
    const read = await withDeadline(
      { clock: ctx.clock, ms: TABLE_TIMEOUT_MS, signal: ctx.signal },
      (signal) =>
        readCatalogue(ctx.table, catalogueKeys.history(version), signal),
    );
    if (read.isErr()) return sendError(c, fromEditError(read.error));
    const { row } = read.value;
    return row === undefined
      ? sendError(c, {
        code: "not_found",
        message: `there is no version ${version}`,
        data: { version },
      })
      : c.json(toAnswer(row, "store"));
  });
}
