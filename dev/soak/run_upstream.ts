import { createServer } from "node:http";
import { systemClock } from "../../src/base/system_clock.ts";
import { STANDIN_TABLES } from "../../platform/standins/standin_tables.ts";
import { upstreamRow } from "../../platform/standins/upstream_row.ts";
import { UpstreamServer } from "../../platform/standins/upstream_server.ts";
import { TableClient } from "../../platform/table_client.ts";
import { listenOn } from "../standins/listen_on.ts";
import { readBody } from "../standins/read_body.ts";
import { hostClock } from "./host_clock.ts";

type Options = {
  id: string;
  service: string;
  failureDomain: string;
  keyed: boolean;
  port: number;
  /** Port of the proxy through which routers reach the upstream. */
  publicPort: number;
  controlPort: number;
  storePort: number;
};

const SLOTS = 3;
/** Slow enough that hot keys exceed what one upstream can serve. */
const SERVICE_MS = 35;
const HEARTBEAT_INTERVAL_MS = 400;
/** Time from SIGTERM, when it registers as draining, to its exit. */
const DRAIN_DURATION_MS = 2500;

/**
 * Runs an upstream process. On SIGTERM it registers as draining, keeps serving
 * for `DRAIN_DURATION_MS`, deregisters and exits. Writes each of its events to
 * standard output as a line of JSON.
 *
 * @param opts - identity, failure domain and ports; sent as JSON by the soak
 */
export async function runUpstream(opts: Options): Promise<void> {
  const { id, keyed } = opts;
  const startedAt = Date.now();
  const server = new UpstreamServer({
    id,
    keyed,
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    clock: hostClock,
    onEvent: (event) => process.stdout.write(`${JSON.stringify(event)}\n`),
  });
  await server.listen(opts.port);
  const control = createServer((req, res) => {
    void readBody(req).then((body) => {
      server.setFaults(
        JSON.parse(body.toString()) as Parameters<
          UpstreamServer["setFaults"]
        >[0],
      );
      res.end();
    });
  });
  await listenOn(control, opts.controlPort);
  const store = new TableClient({
    address: `127.0.0.1:${opts.storePort}`,
    clock: systemClock,
  });
  let exitAt = Infinity;
  process.on("SIGTERM", () => {
    exitAt = Math.min(exitAt, hostClock.now() + DRAIN_DURATION_MS);
  });
  const neverAborted = new AbortController().signal;
  for (let heartbeat = 1; hostClock.now() < exitAt; heartbeat++) {
    const row = upstreamRow({
      service: opts.service,
      address: `127.0.0.1:${opts.publicPort}`,
      failureDomain: opts.failureDomain,
      slots: SLOTS,
      draining: exitAt < Infinity,
      startedAt,
      beat: heartbeat,
    });
    // A failure is ignored: the next heartbeat writes the row again.
    await store.transact({
      expect: [],
      writes: [{
        table: STANDIN_TABLES.registry,
        key: id,
        value: Buffer.from(row),
      }],
      remove: [],
    }, neverAborted);
    await hostClock.sleep(HEARTBEAT_INTERVAL_MS);
  }
  await store.transact({
    expect: [],
    writes: [],
    remove: [{ table: STANDIN_TABLES.registry, key: id }],
  }, neverAborted);
  process.exit(0);
}
