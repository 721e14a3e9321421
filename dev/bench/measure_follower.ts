import { randomUUID } from "node:crypto";
import { systemClock } from "../../src/base/system_clock.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { CompiledCatalogue } from "../../src/catalogue/compiled_catalogue.ts";
import { TableRows } from "../../src/contracts/table_rows.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { CoordinatorView } from "../../src/vms/coordinator_view.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import { StoreContact } from "../../src/vms/store_contact.ts";
import { StorePoller } from "../../src/vms/store_poller.ts";
import { TableStore } from "../standins/table_store.ts";
import { CpuMeter } from "./cpu_meter.ts";
import { quietLogger } from "./quiet_logger.ts";
import { storeClient } from "./store_client.ts";
import type { SyntheticRegion } from "./synthetic_region.ts";

// Longer than a run, so that the poller reads the store only once by itself.
const POLL_INTERVAL_MS = 3_600_000;
const STORE_CONTACT_MS = 1500;
const MICROS_PER_S = 1e6;
const ROUND_COUNT = 20;
const INCARNATION = "00000000-0000-4000-8000-000000000000";

/**
 * Measures what it costs a router to follow the table service: one poll with a
 * heartbeat of every coordinator, one catalogue change, and one answer as a
 * witness.
 *
 * @param region - region of the router
 * @param regions - number of regions whose coordinators write heartbeats
 * @returns processor time in microseconds, sizes in bytes
 */
export async function measureFollower(
  region: SyntheticRegion,
  regions: number,
): Promise<Record<string, number>> {
  const store = new TableStore();
  const putRow = (key: string, value: unknown) =>
    store.transact({ conditions: [], writes: [{ key, value }] });
  const document = region.catalogue();
  const catalogueRow = (version: number) => ({
    schema: 1,
    version,
    author: "operator",
    at: new Date(0).toISOString(),
    writeId: randomUUID(),
    document,
  });
  const putHeartbeat = (index: number, beat: number) =>
    putRow(`coordinators/region-${index}`, {
      schema: 1,
      region: `region-${index}`,
      vm: "entry-00000",
      incarnation: INCARNATION,
      peerUrl: "http://10.0.0.4:8081",
      epoch: 1,
      beat,
      witnesses: Array.from({ length: 5 }, (_, other) => `entry-0000${other}`),
    });
  putRow("catalogue/current", catalogueRow(1));
  for (let index = 0; index < regions; index += 1) putHeartbeat(index, 1);
  for (const row of region.rows()) {
    putRow(`assignments/${row.region}/${row.service}`, row);
  }
  const views = {
    catalogue: new CatalogueView(),
    members: new MemberView(),
    coordinators: new CoordinatorView(),
    assignments: new AssignmentView(),
  };
  let offset = 0;
  const clock = { ...systemClock, now: () => systemClock.now() + offset };
  const poller = new StorePoller({
    table: storeClient(store),
    clock,
    logger: quietLogger,
    pollMs: POLL_INTERVAL_MS,
    timeoutMs: STORE_CONTACT_MS,
    views,
  });
  const contact = new StoreContact({
    self: {
      vm: "entry-00000",
      incarnation: INCARNATION,
      region: region.region,
      failureDomain: `${region.region}-0`,
    },
    timing: {
      storeContactMs: STORE_CONTACT_MS,
      witnessAskMs: 400,
      witnessPromiseMs: 1000,
    },
    clock,
    logger: quietLogger,
    poller,
    views,
    peers: {
      call: () => {
        throw new Error("a witness answers without calling a peer");
      },
    },
    vmList: { absentSince: () => undefined },
  });
  contact.markRegistered();
  const stop = new AbortController();
  const polled = poller.polled.next();
  const running = poller.run(stop.signal);
  await polled;
  stop.abort();
  await running;

  // Adopts the rows of one poll, parsed as the HTTP adapter parses them.
  const adoptChanges = (since: number) => {
    const text = JSON.stringify(store.readRows({ prefix: "", since }));
    const meter = new CpuMeter();
    meter.add(() => {
      for (const row of TableRows.parse(JSON.parse(text)).rows) {
        poller.adopt(row);
      }
    });
    return { bytes: Buffer.byteLength(text), us: meter.seconds * MICROS_PER_S };
  };
  const initialRevision = store.readRows({ prefix: "", since: 0 }).revision;
  let since = initialRevision;
  const heartbeats = { bytes: 0, us: 0 };
  const changes = { bytes: 0, us: 0, compileUs: 0 };
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    for (let index = 0; index < regions; index += 1) {
      putHeartbeat(index, round + 2);
    }
    const heartbeatPoll = adoptChanges(since);
    heartbeats.bytes += heartbeatPoll.bytes / ROUND_COUNT;
    heartbeats.us += heartbeatPoll.us / ROUND_COUNT;
    since = store.readRows({ prefix: "", since }).revision;

    const row = catalogueRow(round + 2);
    store.transact({
      conditions: [],
      writes: [
        { key: "catalogue/current", value: row },
        { key: `catalogue/history/${round + 2}`, value: row },
        {
          key: `audit/${row.at}-${round}`,
          value: {
            schema: 1,
            at: row.at,
            actor: "operator",
            action: "catalogue.apply",
            vm: "entry-00000",
            fromVersion: round + 1,
            toVersion: round + 2,
            outcome: "committed",
            details: {},
          },
        },
      ],
    });
    const changePoll = adoptChanges(since);
    since = store.readRows({ prefix: "", since }).revision;
    const compile = new CpuMeter();
    compile.add(() => new CompiledCatalogue(document));
    changes.bytes += changePoll.bytes / ROUND_COUNT;
    changes.us += changePoll.us / ROUND_COUNT;
    changes.compileUs += compile.seconds * MICROS_PER_S / ROUND_COUNT;
  }
  if (views.catalogue.version !== ROUND_COUNT + 1) {
    throw new Error("the router did not adopt the last catalogue version");
  }

  // Without store contact the witness answers that the store is unreachable.
  offset = 2 * STORE_CONTACT_MS;
  const witnessHandler = contact.handlers().find(({ method }) =>
    method === "witness.ask"
  );
  const params = { vm: "entry-00001", incarnation: INCARNATION };
  const answer = JSON.stringify(
    await witnessHandler?.handle(params, stop.signal),
  );
  if (!answer.includes("unreachable")) throw new Error(`answered ${answer}`);
  return {
    heartbeatPollBytes: heartbeats.bytes,
    heartbeatPollUs: heartbeats.us,
    catalogueChangeBytes: changes.bytes,
    catalogueRowBytes: Buffer.byteLength(JSON.stringify(catalogueRow(1))),
    catalogueChangeUs: changes.us,
    compileUs: changes.compileUs,
    witnessAnswerBytes: Buffer.byteLength(answer),
    vmListBytes: Buffer.byteLength(JSON.stringify({ vms: region.vms() })),
    listedVms: region.vms().length,
  };
}
