import { err, ok, type Result } from "neverthrow";
import { keyDigest } from "../base/key_digest.ts";
import type { CatalogueRow } from "../catalogue/catalogue_row.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import { shardOf } from "../shards/shard_of.ts";
import { shardRegion } from "../shards/shard_region.ts";
import type { AdminError } from "./admin_error.ts";
import type { AssignmentAnswer } from "./assignment_answer.ts";

type Query = { service: string; key: string };

/**
 * Describes the assignment of a key.
 *
 * @param query - service and key
 * @param catalogue - the catalogue in force
 * @param assignments - the known assignment rows
 * @returns shard, region, upstream and dispatcher of the key, or the error to
 * answer with
 */
export function describeAssignment(
  query: Query,
  catalogue: CatalogueRow,
  assignments: AssignmentView,
): Result<AssignmentAnswer, AdminError> {
  const { services, entries } = catalogue.document;
  const name = query.service;
  const service = Object.hasOwn(services, name) ? services[name] : undefined;
  // All entries of a service have the same home regions.
  const entry = Object.values(entries).find((candidate) =>
    candidate.service === name
  );
  if (service === undefined || entry === undefined) {
    return err({
      code: "not_found",
      message: `the catalogue has no service ${name} with an entry`,
      data: { service: name, catalogueVersion: catalogue.version },
    });
  }
  if (entry.keySource.kind === "none") {
    return err({
      code: "not_found",
      message: `service ${name} is not divided by key: any upstream may serve`,
      data: { service: name, catalogueVersion: catalogue.version },
    });
  }
  const digest = keyDigest(name, query.key);
  const shard = shardOf(digest, service.shards);
  const region = shardRegion(shard, entry.homeRegions);
  const known = assignments.get(region, name);
  const row = known?.row;
  const pin = row !== undefined && Object.hasOwn(row.pins, digest)
    ? row.pins[digest]
    : undefined;
  const ownerIndex = row?.shards[shard] ?? -1;
  const upstream = row?.upstreams.find(({ id }, index) =>
    pin === undefined ? index === ownerIndex : id === pin
  );
  const term = upstream !== undefined && row !== undefined &&
      Object.hasOwn(row.tenures, upstream.id)
    ? row.tenures[upstream.id]
    : undefined;
  return ok({
    service: name,
    digest,
    shard,
    pinned: pin !== undefined,
    region,
    upstream: pin ?? upstream?.id ?? null,
    address: upstream?.address ?? null,
    dispatcher: term?.vm ?? null,
    epoch: term?.epoch ?? null,
    rowRevision: known?.revision ?? null,
    catalogueVersion: catalogue.version,
  });
}
