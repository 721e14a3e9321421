import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { UpstreamsAnswer } from "./upstreams_answer.ts";
import type { VmInventory } from "./vm_inventory.ts";

type Upstream = UpstreamsAnswer["upstreams"][number];

function describeOwnership(row: AssignmentRow, position: number, id: string) {
  const term = Object.hasOwn(row.tenures, id) ? row.tenures[id] : undefined;
  return {
    shards: row.shards.filter((owner) => owner === position).length,
    pins: Object.values(row.pins).filter((owner) => owner === id).length,
    dispatcher: term?.vm ?? null,
    epoch: term?.epoch ?? null,
  };
}

/**
 * Lists the upstreams with what they own.
 *
 * @param inventory - the known VMs
 * @param rows - every known assignment row
 * @param out - names of VMs and failure domains that are out of service
 * @returns every known upstream, sorted by service, region and id
 */
export function describeUpstreams(
  inventory: VmInventory,
  rows: readonly AssignmentRow[],
  out: CatalogueDocument["out"],
): UpstreamsAnswer {
  const upstreams = new Map<string, Upstream>();
  const isOut = (id: string, failureDomain: string) =>
    out.vms.includes(id) || out.failureDomains.includes(failureDomain);
  for (const vm of inventory.listed ?? []) {
    const { id, region, failureDomain, address, state } = vm;
    if (vm.kind !== "upstream") continue;
    upstreams.set(id, {
      id,
      service: vm.service ?? "",
      region,
      failureDomain,
      address,
      state,
      out: isOut(id, failureDomain),
      shards: 0,
      pins: 0,
      dispatcher: null,
      epoch: null,
    });
  }
  for (const row of rows) {
    const { region, service } = row;
    for (const [position, upstream] of row.upstreams.entries()) {
      const { id, address, failureDomain } = upstream;
      const owned = describeOwnership(row, position, id);
      const known = upstreams.get(id);
      // A former upstream without shards and pins stays in the row until its
      // dispatch term has ended; it is not listed.
      if (known === undefined && owned.shards === 0 && owned.pins === 0) {
        continue;
      }
      upstreams.set(id, {
        ...known ?? {
          id,
          service,
          region,
          failureDomain,
          address,
          state: "unlisted",
          out: isOut(id, failureDomain),
        },
        ...owned,
      });
    }
  }
  const sortKey = (upstream: Upstream) =>
    `${upstream.service}/${upstream.region}/${upstream.id}`;
  return {
    vmListRead: inventory.listed !== undefined,
    upstreams: [...upstreams.values()]
      .sort((a, b) => sortKey(a) < sortKey(b) ? -1 : 1),
  };
}
