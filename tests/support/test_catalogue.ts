import { ok } from "neverthrow";
import { Entry } from "../../src/catalogue/entry.ts";
import { Service } from "../../src/catalogue/service.ts";
import type { checkRequest } from "../../src/entry/check_request.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";

/**
 * Creates catalogue objects and assignment rows for one keyed service `s` with
 * entry `e`, home region `sierra` and router `r1`.
 */
export const testCatalogue = {
  entry(changes: Record<string, unknown> = {}): Entry {
    return Entry.parse({
      owner: "acme",
      class: "interactive",
      service: "s",
      match: { pathPrefix: "/" },
      keySource: { kind: "header", name: "x-key" },
      homeRegions: ["sierra"],
      idempotent: false,
      checksGrants: true,
      limits: { ratePerS: 1000, concurrency: 1000 },
      ...changes,
    });
  },

  service: Service.parse({ shards: 4, slots: 2, connections: 2 }),

  /** Catalogue look-ups of the router with one entry named `e`. */
  view(entry: Entry): Omit<Parameters<typeof checkRequest>[1], "mode"> {
    return {
      region: "sierra",
      match: () => ({ name: "e", entry }),
      extractKey: (source, { headers }) =>
        source.kind === "header"
          ? ok(String(headers[source.name] ?? "k"))
          : ok(undefined),
      findService: () => testCatalogue.service,
    };
  },

  /** Creates an assignment row in which every upstream has a dispatcher. */
  row(opts: {
    region?: string;
    upstreams?: string[];
    vm?: string;
    shards?: number[];
  } = {}): AssignmentRow {
    const upstreams = opts.upstreams ?? ["u1"];
    return AssignmentRow.parse({
      schema: 1,
      service: "s",
      region: opts.region ?? "sierra",
      coordinatorEpoch: 1,
      writeId: "w",
      upstreams: upstreams.map((id) => ({
        id,
        address: "127.0.0.1:1",
        failureDomain: "d1",
      })),
      shards: opts.shards ?? [0, 0, 0, 0],
      tenures: Object.fromEntries(
        upstreams.map((id) => [id, { vm: opts.vm ?? "r1", epoch: 1 }]),
      ),
      pins: {},
    });
  },
};
