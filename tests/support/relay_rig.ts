import type { DomainLoadExchange } from "../../src/balance/domain_load_exchange.ts";
import { followTimesFor } from "../../src/rows/follow_times_for.ts";
import type { RowStore } from "../../src/rows/row_store.ts";
import { TableFollower } from "../../src/rows/table_follower.ts";
import { TableRelay } from "../../src/rows/table_relay.ts";
import { ConnectionFaults } from "./connection_faults.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryPeers } from "./memory_peers.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { PausableClock } from "./pausable_clock.ts";
import { silentLogger } from "./silent_logger.ts";

type RelayVm = {
  vm: string;
  /** Rows that the VM knows, and how often it noticed the end of an outage. */
  seen: { rows: Map<string, string>; reconnected: number };
  relay: TableRelay;
  process: PausableClock;
  connections: ConnectionFaults;
  store: { seen: { refused: boolean } };
};

const TABLE = "t";
const CLOCK_STEP_MS = 20;
const DEFAULT_BOUND_MS = 2500;
const DEFAULT_BATCH_MS = 100;

/** Test rig with VMs of one region that follow a table of the store. */
export class RelayRig {
  readonly #opts: { boundMs: number; batchMs: number };
  readonly clock = new ManualClock();
  readonly store = new MemoryRowStore(this.clock);
  readonly peers = new MemoryPeers(this.clock);
  readonly end = new AbortController();
  readonly vms: RelayVm[] = [];

  /** Number of feed calls by all VMs. */
  get feedCalls(): number {
    return this.vms.reduce((sum, vm) => sum + vm.connections.feedCalls, 0);
  }

  /** @param opts - bound on changes, and pause between feed calls */
  constructor(
    opts = { boundMs: DEFAULT_BOUND_MS, batchMs: DEFAULT_BATCH_MS },
  ) {
    this.#opts = opts;
  }

  addVm(vm: string, loads?: DomainLoadExchange): void {
    const { clock, end } = this;
    const { boundMs, batchMs } = this.#opts;
    const process = new PausableClock(clock, 0);
    const seen = { rows: new Map<string, string>(), reconnected: 0 };
    const store = this.#createVmStore();
    const connections = new ConnectionFaults(store, process);
    const selfUrl = `http://${vm}`;
    const follower: TableFollower = new TableFollower({
      store: connections,
      table: TABLE,
      clock: process,
      logger: silentLogger(),
      times: () => followTimesFor(boundMs),
      batchMs: () => batchMs,
      boundMs,
      codec: { decode: (value) => value, encode: (text) => text },
      onSnapshot: (rows) => {
        seen.rows = new Map(
          rows.map((row) => [row.key, decodeText(row.value)]),
        );
      },
      onChanges: (changes) => {
        for (const change of changes) {
          if (change.kind === "removed") seen.rows.delete(change.key);
          else seen.rows.set(change.row.key, decodeText(change.row.value));
        }
      },
      onReconnected: () => {
        seen.reconnected++;
      },
    });
    const relay: TableRelay = new TableRelay({
      followers: [follower],
      boundMs,
      selfUrl,
      peers: this.peers.client(vm, process),
      ...(loads === undefined ? {} : { loads }),
      clock: process,
      logger: silentLogger(),
      signal: end.signal,
    });
    this.peers.listen(selfUrl, { vm, process, handlers: [relay.handler] });
    void follower.run(end.signal);
    void relay.run();
    this.vms.push({ vm, seen, relay, process, connections, store });
  }

  /** Makes one VM, or none, the relay of all VMs. */
  setRelay(vm: string | undefined): void {
    const url = vm === undefined ? undefined : `http://${vm}`;
    for (const { relay } of this.vms) relay.setRelay(url);
  }

  put(key: string, value: string): void {
    this.store.put(TABLE, key, value);
  }

  drop(key: string): void {
    this.store.drop(TABLE, key);
  }

  async advance(ms: number): Promise<void> {
    for (let advancedMs = 0; advancedMs < ms; advancedMs += CLOCK_STEP_MS) {
      await this.clock.advance(CLOCK_STEP_MS);
    }
  }

  /** Returns one VM's view of the store, which may refuse only this VM. */
  #createVmStore(): RowStore & { seen: { refused: boolean } } {
    const { store, clock } = this;
    const seen = { refused: false };
    const refusing = new MemoryRowStore(clock);
    refusing.fault = "down";
    const current = () => seen.refused ? refusing : store;
    return {
      seen,
      transact: (...args: Parameters<MemoryRowStore["transact"]>) =>
        current().transact(...args),
      readTable: (...args: Parameters<MemoryRowStore["readTable"]>) =>
        current().readTable(...args),
      waitForChanges: (
        ...args: Parameters<MemoryRowStore["waitForChanges"]>
      ) => current().waitForChanges(...args),
    };
  }
}

function decodeText(value: Uint8Array): string {
  return Buffer.from(value).toString();
}
