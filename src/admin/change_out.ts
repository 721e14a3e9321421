import { err, ok, type Result } from "neverthrow";
import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { CatalogueRow } from "../catalogue/catalogue_row.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminError } from "./admin_error.ts";
import { findLastDomainRegions } from "./find_last_domain_regions.ts";
import { fromEditError } from "./from_edit_error.ts";
import { readInventory } from "./read_inventory.ts";
import type { VmInventory } from "./vm_inventory.ts";

const MAX_COMMIT_ATTEMPTS = 4;

type OutChange = {
  kind: "failureDomain" | "vm";
  name: string;
  /** True to take out of service, false to take back in. */
  out: boolean;
  force: boolean;
  operator: string;
};

type ChangeResult = { version: number; changed: boolean };

function namesOut(
  document: CatalogueDocument,
  kind: OutChange["kind"],
): string[] {
  return kind === "vm" ? document.out.vms : document.out.failureDomains;
}

function withChange(
  document: CatalogueDocument,
  { kind, name, out }: OutChange,
): CatalogueDocument {
  const others = namesOut(document, kind).filter((other) => other !== name);
  const names = out ? [...others, name].sort() : others;
  return {
    ...document,
    out: {
      ...document.out,
      [kind === "vm" ? "vms" : "failureDomains"]: names,
    },
  };
}

function isKnown(
  { kind, name }: OutChange,
  { listed, members }: VmInventory,
): boolean {
  return kind === "vm"
    ? listed?.some(({ id }) => id === name) === true ||
      members.some(({ vm }) => vm === name)
    : [...listed ?? [], ...members].some((place) =>
      place.failureDomain === name
    );
}

/**
 * Refuses likely mistakes, unless `force` is set: an unknown name, or the last
 * failure domain in service of a region.
 */
function checkTakingOut(
  change: OutChange,
  document: CatalogueDocument,
  inventory: VmInventory,
): Result<void, AdminError> {
  const { kind, name } = change;
  const vmListRead = inventory.listed !== undefined;
  if (change.force) return ok(undefined);
  if (!isKnown(change, inventory)) {
    return err({
      code: "unknown_name",
      message: `no ${kind === "vm" ? "VM" : "failure domain"} is named ` +
        `${name}${vmListRead ? "" : "; the VM list could not be read"}`,
      data: { name, vmListRead },
    });
  }
  if (kind === "vm") return ok(undefined);
  const regions = findLastDomainRegions(
    name,
    document.out.failureDomains,
    inventory,
  );
  if (regions.length === 0) return ok(undefined);
  return err({
    code: "last_domain_in_region",
    message: `${name} is the last failure domain in service of ${
      regions.join(", ")
    }`,
    data: { name, regions, vmListRead },
  });
}

/**
 * Takes a VM or failure domain out of or into service: reads the catalogue,
 * adds or removes the name, and commits the result. After a conflict it starts
 * again, up to four attempts in all, unless the other change has taken the same
 * name out or in.
 *
 * @param ctx - catalogue editor, audit trail, VM list and members
 * @param change - what to take out or in, and who requests it
 * @returns the version in which the name is out or in as requested, and whether
 * this call has committed it; or the error to answer with
 */
export async function changeOut(
  ctx: AdminContext,
  change: OutChange,
): Promise<Result<ChangeResult, AdminError>> {
  const { kind, name, out, operator } = change;
  const action = `${kind === "vm" ? "vm" : "domain"}.${out ? "out" : "in"}`;
  const inventory = await readInventory(ctx);
  let firstRow: CatalogueRow | undefined;
  for (let attempt = 1;; attempt += 1) {
    const read = await ctx.editor.read(ctx.signal);
    if (read.isErr()) return err(fromEditError(read.error));
    const { row } = read.value;
    if (row === undefined) {
      return err({
        code: "no_catalogue",
        message: "there is no catalogue yet",
        data: {},
      });
    }

    const isOut = namesOut(row.document, kind).includes(name);
    firstRow ??= row;
    if (isOut !== namesOut(firstRow.document, kind).includes(name)) {
      const { version, author, at } = row;
      return err(fromEditError({ kind: "conflict", version, author, at }));
    }
    if (isOut === out) return ok({ version: row.version, changed: false });

    const allowed = out
      ? checkTakingOut(change, row.document, inventory)
      : ok(undefined);
    if (allowed.isErr()) {
      await ctx.audit.writeRefused({
        actor: operator,
        action,
        version: row.version,
        details: { name, code: allowed.error.code },
      });
      return err(allowed.error);
    }
    const edited = await ctx.editor.apply({
      document: withChange(row.document, change),
      expectedVersion: row.version,
      author: operator,
      action,
      outOnly: true,
      details: { name, force: change.force },
    }, ctx.signal);
    if (edited.isOk()) {
      ctx.catalogue.adopt(edited.value);
      return ok({ version: edited.value.version, changed: true });
    }
    if (edited.error.kind !== "conflict" || attempt === MAX_COMMIT_ATTEMPTS) {
      return err(fromEditError(edited.error));
    }
  }
}
