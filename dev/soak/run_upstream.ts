import { createServer } from "node:http";
import { STANDIN_TABLES } from "../../platform/standins/standin_tables.ts";
import { upstreamRow } from "../../platform/standins/upstream_row.ts";
import { UpstreamServer } from "../../platform/standins/upstream_server.ts";
import { TableClient } from "../../platform/table_client.ts";
import { listenOn } from "../standins/listen_on.ts";
import { readBody } from "../standins/read_body.ts";
import { computerClock } from "./computer_clock.ts";

type Options = {
  id: string;
  service: string;
  failureDomain: string;
  keyed: boolean;
  port: number;
  /** Port through which the routers reach it. */
  publicPort: number;
  controlPort: number;
  storePort: number;
};

const SLOTS = 3;
const SERVICE_MS = 25;
const BEAT_MS = 400;
/** From the notice that it leaves to its end. */
const DRAIN_MS = 2500;

/**
 * Runs an upstream until SIGTERM, upon which it leaves in order. What it does
 * goes to standard output, a line for each event.
 *
 * @param opts - its place, and the ports of the others
 */
export async function runUpstream(opts: Options): Promise<void> {
  const { id, keyed } = opts;
  const startedAt = Date.now();
  const server = new UpstreamServer({
    id,
    keyed,
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    clock: computerClock,
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
  const store = new TableClient(`127.0.0.1:${opts.storePort}`);
  let leavingAt = Infinity;
  process.on("SIGTERM", () => {
    leavingAt = Math.min(leavingAt, computerClock.now() + DRAIN_MS);
  });
  const never = new AbortController().signal;
  for (let beat = 1; computerClock.now() < leavingAt; beat++) {
    const row = upstreamRow({
      service: opts.service,
      address: `127.0.0.1:${opts.publicPort}`,
      failureDomain: opts.failureDomain,
      slots: SLOTS,
      draining: leavingAt < Infinity,
      startedAt,
      beat,
    });
    // A beat that fails is followed by another one.
    await store.transact({
      expect: [],
      writes: [{
        table: STANDIN_TABLES.registry,
        key: id,
        value: Buffer.from(row),
      }],
      remove: [],
    }, never);
    await computerClock.sleep(BEAT_MS);
  }
  await store.transact({
    expect: [],
    writes: [],
    remove: [{ table: STANDIN_TABLES.registry, key: id }],
  }, never);
  process.exit(0);
}
