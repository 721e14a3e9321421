import { HolderChoice } from "../../src/limits/holder_choice.ts";
import { ShareIssuer } from "../../src/limits/share_issuer.ts";
import { shortId } from "../../src/limits/short_id.ts";
import { TokenPool } from "../../src/limits/token_pool.ts";
import { TokenStock } from "../../src/limits/token_stock.ts";
import type { Tenant } from "../../src/tenants/tenant.ts";
import type { PlantedFault } from "./planted_fault.ts";
import { RandomFaults } from "./random_faults.ts";
import { TenantFleetClock } from "./tenant_fleet_clock.ts";

type Options = {
  seed: number;
  regions: number;
  vmsPerRegion: number;
  tenants: readonly Tenant[];
  planted?: PlantedFault;
  /** Probabilities that a message is lost, late (up to 3 s) or repeated. */
  lossProbability?: number;
  lateProbability?: number;
  repeatProbability?: number;
};
type Vm = {
  name: string;
  region: string;
  incarnation: string;
  clock: TenantFleetClock;
  stock: TokenStock;
  pool: TokenPool;
  issuer: ShareIssuer;
  alive: boolean;
  frozen: boolean;
  /** Tasks that run when the VM is no longer frozen. */
  deferred: (() => void)[];
  seenVersion: number;
  seenAt: number;
  held: boolean;
  confirmedAt: number;
  confirmedWallMs: number;
  term: { startedAt: number; isFirst: boolean } | undefined;
  leaderName: string | undefined;
  relayName: string | undefined;
  reportedAt: Map<string, number>;
  relays: Map<string, string>;
  waiting: { id: string; end: (admitted: boolean) => void }[];
  calling: boolean;
  callPending: boolean;
  /** Whether the last response left requests waiting. */
  retrying: boolean;
  calledAt: number;
  holder: HolderChoice;
};
type Result = { at: number; admitted: boolean };

const BOUND = { windowMs: 5000, overage: 0.1, slack: 20 };
const LEASE_TTL_MS = 1500;
const ORDER_GRACE_MS = 12_000;
const LEADER_CANDIDATES = 3;

/**
 * VMs with the state machines of the tenant limits, the leader lease and the
 * choice of relays in short form, over a network that loses, delays and repeats
 * messages. Time is simulated.
 */
export class TenantFleet {
  readonly random: RandomFaults;
  readonly vms: Vm[] = [];
  /** Results of requests by tenant name. */
  readonly results = new Map<string, Result[]>();
  /** Calls and bytes of bodies, both directions. */
  messages = 0;
  bytes = 0;
  tenants: readonly Tenant[];
  readonly bound = BOUND;
  #time = 0;
  #events: { at: number; order: number; run: () => void }[] = [];
  #order = 0;
  #incarnations = 0;
  readonly #opts: Options;
  readonly #isolated = new Set<string>();
  readonly #cut = new Set<string>();
  readonly #withoutControl = new Set<string>();
  readonly #withoutStore = new Set<string>();
  #row: { name: string; incarnation: string; version: number } | undefined;

  constructor(opts: Options) {
    this.#opts = opts;
    this.tenants = opts.tenants;
    this.random = new RandomFaults(opts.seed);
    for (let region = 0; region < opts.regions; region++) {
      for (let index = 0; index < opts.vmsPerRegion; index++) {
        this.vms.push(this.#start(`vm-${region}-${index}`, `region-${region}`));
      }
    }
  }

  get time(): number {
    return this.#time;
  }

  at(time: number, run: () => void): void {
    const event = { at: time, order: this.#order++, run };
    // A binary heap ordered by time, then by order of creation.
    const heap = this.#events;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, event)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  runUntil(time: number): void {
    for (;;) {
      const next = this.#events[0];
      if (next === undefined || next.at > time) break;
      this.#pop();
      this.#time = Math.max(this.#time, next.at);
      next.run();
    }
    this.#time = time;
  }

  /** A client's request; the result is recorded when it is known. */
  request(vm: Vm, tenant: Tenant): void {
    this.#run(vm, () => {
      const id = shortId(tenant.name);
      const record = (admitted: boolean) => {
        const list = this.results.get(tenant.name) ?? [];
        list.push({ at: this.#time, admitted });
        this.results.set(tenant.name, list);
        if (!admitted && vm.alive) vm.stock.addRefused(id);
      };
      if (vm.stock.admit(id)) {
        record(true);
        if (vm.stock.isLow(id)) this.#callHolder(vm);
        return;
      }
      if (vm.stock.dryness(id).dryMs > 0) {
        record(false);
        return;
      }
      const waiter = {
        id,
        end: (admitted: boolean) => {
          vm.waiting = vm.waiting.filter((other) => other !== waiter);
          vm.stock.addWaiting(id, -1);
          record(admitted);
        },
      };
      vm.waiting.push(waiter);
      vm.stock.addWaiting(id, 1);
      this.at(this.#time + 250, () =>
        this.#run(vm, () => {
          if (vm.waiting.includes(waiter)) waiter.end(false);
        }));
      this.#callHolder(vm);
    });
  }

  kill(vm: Vm): void {
    vm.alive = false;
    vm.deferred = [];
  }

  restart(vm: Vm): void {
    const index = this.vms.indexOf(vm);
    this.kill(vm);
    const started = this.#start(vm.name, vm.region);
    this.vms[index] = started;
    if (this.#opts.planted !== "restarted_holder_keeps_share") return;
    // The new process assumes the share of the old one, and a full bucket.
    const { seq } = started.pool.beginShareRequest();
    started.pool.endShareRequest(seq, {
      leader: true,
      term: "planted",
      ttlMs: 5000,
      shares: vm.pool.tenantIds.map((id) => [id, 1 / this.#opts.regions]),
    });
  }

  /** @param suspended - whether the monotonic clock stands still as well */
  freeze(vm: Vm, ms: number, suspended: boolean): void {
    if (vm.frozen) return;
    vm.frozen = true;
    if (suspended) vm.clock.suspend();
    this.at(this.#time + ms, () => {
      vm.clock.resume();
      vm.frozen = false;
      const { deferred } = vm;
      vm.deferred = [];
      // Clients' requests and timers may run before or after late responses.
      if (this.random.next() < 0.5) deferred.reverse();
      for (const task of deferred) this.#run(vm, task);
    });
  }

  /** Cuts a VM off from the store and all others, or only from one other. */
  partition(vm: Vm, other: Vm | undefined, ms: number): void {
    const cuts = other === undefined ? this.#isolated : this.#cut;
    const name = other === undefined ? vm.name : linkName(vm, other);
    cuts.add(name);
    this.at(this.#time + ms, () => cuts.delete(name));
  }

  /** Cuts a VM off from the store only. */
  cutStore(vm: Vm, ms: number): void {
    this.#withoutStore.add(vm.name);
    this.at(this.#time + ms, () => this.#withoutStore.delete(vm.name));
  }

  /** Cuts a VM off from the store and the leader, but not from other VMs. */
  cutControl(vm: Vm, ms: number): void {
    this.#withoutControl.add(vm.name);
    this.at(this.#time + ms, () => this.#withoutControl.delete(vm.name));
  }

  setTenants(tenants: readonly Tenant[]): void {
    this.tenants = tenants;
    for (const vm of this.vms) vm.pool.setTenants(tenants, BOUND);
  }

  get leader(): Vm | undefined {
    return this.vms.find((vm) => vm.alive && this.#isConfirmed(vm));
  }

  relayOf(region: string): Vm | undefined {
    const name = this.leader?.relays.get(region);
    return this.vms.find((vm) => vm.name === name);
  }

  #start(name: string, region: string): Vm {
    const { planted } = this.#opts;
    const clock = new TenantFleetClock(
      () => this.#time,
      this.random.next() * 1e6,
    );
    clock.wallStops = planted === "expiry_ignores_suspension";
    const incarnation = `${name}#${this.#incarnations++}`;
    const lease = {
      get confirmed() {
        return planted === "unconfirmed_leader_moves_shares"
          ? lease.maySendOrders
          : isConfirmed();
      },
      get maySendOrders() {
        return isRunning();
      },
      get renewalAgeMs() {
        return clock.now() - vm.confirmedAt;
      },
      get predecessorOrdersEndAt() {
        if (planted === "new_leader_grants_at_once") return -1e9;
        return (vm.term?.startedAt ?? 0) + ORDER_GRACE_MS;
      },
      get term() {
        if (vm.term === undefined || !vm.held) return undefined;
        if (planted === "new_leader_grants_at_once") vm.term.isFirst = true;
        return vm.term;
      },
    };
    const issuer = new ShareIssuer({
      incarnation,
      lease,
      tenantIds: () => vm.pool.tenantIds,
      clock,
    });
    const vm: Vm = {
      name,
      region,
      incarnation,
      clock,
      stock: planted === "duplicate_response_counts"
        ? new RepeatingStock(incarnation, clock)
        : new TokenStock(incarnation, clock),
      pool: planted === "lease_of_holder_never_ends"
        ? new EndlessPool(incarnation, clock)
        : new TokenPool(incarnation, clock),
      issuer,
      alive: true,
      frozen: false,
      deferred: [],
      seenVersion: -1,
      seenAt: 0,
      held: false,
      confirmedAt: Number.NEGATIVE_INFINITY,
      confirmedWallMs: 0,
      term: undefined,
      leaderName: undefined,
      relayName: undefined,
      reportedAt: new Map(),
      relays: new Map(),
      waiting: [],
      calling: false,
      callPending: false,
      retrying: false,
      calledAt: Number.NEGATIVE_INFINITY,
      holder: new HolderChoice(clock, () => this.random.next()),
    };
    const isConfirmed = () => this.#isConfirmed(vm);
    const isRunning = () => this.#maySendOrders(vm);
    if (planted === "restarted_holder_keeps_share") {
      vm.pool.setTenants([], BOUND);
    }
    vm.pool.setTenants(this.tenants, BOUND);
    this.#every(vm, 500, () => this.#runLease(vm));
    this.#every(vm, 700, () => this.#report(vm));
    this.#every(vm, 700, () => this.#renewShares(vm));
    this.#every(vm, 500, () => this.#callHolder(vm));
    return vm;
  }

  #pop(): void {
    const heap = this.#events;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
        child++;
      }
      if (isBefore(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }

  #run(vm: Vm, task: () => void): void {
    if (!vm.alive) return;
    if (vm.frozen) vm.deferred.push(task);
    else task();
  }

  #every(vm: Vm, ms: number, task: () => void): void {
    const next = () => {
      if (!vm.alive) return;
      if (!vm.frozen) task();
      this.at(this.#time + ms * (0.95 + 0.1 * this.random.next()), next);
    };
    this.at(this.#time + ms * this.random.next(), next);
  }

  #isReachable(from: Vm, to: Vm): boolean {
    return from === to ||
      !(this.#isolated.has(from.name) || this.#isolated.has(to.name) ||
        this.#cut.has(linkName(from, to)));
  }

  #deliver(from: Vm, to: Vm, run: () => void): void {
    if (from === to) {
      this.#run(to, run);
      return;
    }
    const { lossProbability = 0, lateProbability = 0, repeatProbability = 0 } =
      this.#opts;
    const { random } = this;
    const send = (delayMs: number) =>
      this.at(this.#time + delayMs, () => {
        if (this.#isReachable(from, to)) this.#run(to, run);
      });
    if (random.next() < lossProbability) return;
    const normalMs = from.region === to.region ? 1.5 : 20;
    send(random.next() < lateProbability ? random.next() * 3000 : normalMs);
    if (random.next() < repeatProbability) send(random.next() * 3000);
  }

  #call<T>(
    { from, to, timeoutMs, params }: {
      from: Vm;
      to: Vm;
      timeoutMs: number;
      params: unknown;
    },
    handle: () => T,
    end: (response: T | undefined) => void,
  ): void {
    this.messages++;
    this.bytes += JSON.stringify(params).length;
    this.#deliver(from, to, () => {
      const response = handle();
      this.bytes += JSON.stringify(response).length;
      this.#deliver(to, from, () => end(response));
    });
    this.at(
      this.#time + timeoutMs,
      () => this.#run(from, () => end(undefined)),
    );
  }

  #isConfirmed(vm: Vm): boolean {
    return this.#maySendOrders(vm) &&
      vm.clock.now() - vm.confirmedAt < LEASE_TTL_MS;
  }

  #maySendOrders(vm: Vm): boolean {
    const { clock } = vm;
    const ageMs = clock.now() - vm.confirmedAt;
    const wallAgeMs = clock.wallTime().getTime() - vm.confirmedWallMs;
    return vm.held && ageMs < ORDER_GRACE_MS && wallAgeMs - ageMs < 700;
  }

  #runLease(vm: Vm): void {
    if (this.#isolated.has(vm.name)) return;
    if (this.#withoutControl.has(vm.name)) return;
    if (this.#withoutStore.has(vm.name)) return;
    const now = vm.clock.now();
    const confirm = () => {
      vm.confirmedAt = now;
      vm.confirmedWallMs = vm.clock.wallTime().getTime();
    };
    if (vm.held) {
      if (this.#row?.incarnation === vm.incarnation) {
        this.#row.version++;
        confirm();
      } else {
        vm.held = false;
        vm.term = undefined;
      }
      return;
    }
    const version = this.#row?.version ?? 0;
    vm.leaderName = this.#row?.name;
    if (vm.seenVersion !== version) {
      vm.seenVersion = version;
      vm.seenAt = now;
    }
    const isCandidate = this.vms.indexOf(vm) < LEADER_CANDIDATES;
    const isFree = this.#row === undefined || now - vm.seenAt >= LEASE_TTL_MS;
    if (!isCandidate || !isFree) return;
    vm.term = { startedAt: now, isFirst: this.#row === undefined };
    vm.held = true;
    vm.leaderName = vm.name;
    vm.reportedAt.clear();
    this.#row = {
      name: vm.name,
      incarnation: vm.incarnation,
      version: version + 1,
    };
    confirm();
  }

  #vmNamed(name: string | undefined): Vm | undefined {
    return this.vms.find((vm) => vm.alive && vm.name === name);
  }

  /** Reports to the leader, which names the relay of the region. */
  #report(vm: Vm): void {
    const leader = this.#vmNamed(vm.leaderName);
    if (leader === undefined || this.#withoutControl.has(vm.name)) return;
    this.#deliver(vm, leader, () => {
      if (!this.#isConfirmed(leader)) return;
      leader.reportedAt.set(vm.name, leader.clock.now());
      const isRecent = (name: string | undefined) =>
        leader.clock.now() - (leader.reportedAt.get(name ?? "") ?? -1e9) < 2500;
      let relay = leader.relays.get(vm.region);
      if (!isRecent(relay)) {
        relay = this.vms.find(({ name, region }) =>
          region === vm.region && isRecent(name)
        )?.name;
        if (relay !== undefined) leader.relays.set(vm.region, relay);
      }
      this.#deliver(leader, vm, () => {
        vm.relayName = relay;
      });
    });
  }

  #renewShares(vm: Vm): void {
    vm.pool.sweep();
    const isHolder = vm.held || vm.relayName === vm.name || vm.pool.inUse;
    const leader = this.#vmNamed(vm.leaderName);
    if (!isHolder || leader === undefined) return;
    if (this.#withoutControl.has(vm.name) && vm !== leader) return;
    const params = vm.pool.beginShareRequest();
    const { planted } = this.#opts;
    const asLeader = planted === "region_has_two_holders"
      ? {
        ...params,
        holder: vm.region,
        seq: Math.floor(this.#time * 100),
      }
      : params;
    this.#call(
      { from: vm, to: leader, timeoutMs: 650, params },
      () => leader.issuer.onRequest(asLeader),
      (response) => {
        vm.pool.endShareRequest(params.seq, response);
        if (vm.pool.fullWanted) this.#renewShares(vm);
      },
    );
  }

  #callHolder(vm: Vm): void {
    const sinceMs = this.#time - vm.calledAt;
    if (vm.calling) return;
    const pauseMs = vm.retrying ? 60 : 200;
    if (sinceMs < pauseMs) {
      if (vm.callPending) return;
      vm.callPending = true;
      this.at(
        this.#time + pauseMs - Math.floor(sinceMs),
        () =>
          this.#run(vm, () => {
            vm.callPending = false;
            if (vm.waiting.length > 0) this.#callHolder(vm);
          }),
      );
      return;
    }
    const name = vm.holder.next({
      relayUrl: vm.relayName,
      leaderUrl: vm.leaderName,
    });
    const holder = this.vms.find((other) => other.name === name);
    if (holder === undefined || vm.stock.tenantCount === 0) return;
    vm.calling = true;
    vm.calledAt = this.#time;
    const params = vm.stock.beginRequest(holder.name);
    let ended = false;
    const end = (
      response: ReturnType<TokenPool["onTokenRequest"]> | undefined,
    ) => {
      const renewed = vm.stock.endRequest(params.seq, response);
      for (const waiter of [...vm.waiting]) {
        const admitted = vm.stock.take(waiter.id);
        if (admitted || vm.stock.dryness(waiter.id).dryMs > 0) {
          waiter.end(admitted);
        }
      }
      if (ended) return;
      ended = true;
      vm.calling = false;
      vm.holder.onResult(renewed);
      vm.retrying = vm.waiting.length > 0;
      if (vm.retrying) this.#callHolder(vm);
    };
    this.#call(
      { from: vm, to: holder, timeoutMs: 250, params },
      () => {
        if (holder !== vm) holder.pool.sweep();
        return holder.pool.onTokenRequest(params);
      },
      end,
    );
  }
}

/** Planted fault: applies repeated and late responses as well. */
class RepeatingStock extends TokenStock {
  override endRequest(
    seq: number,
    response: Parameters<TokenStock["endRequest"]>[1],
  ): boolean {
    if (super.endRequest(seq, response)) return true;
    if (response === undefined || response.lifeMs <= 0) return false;
    const { seq: next } = this.beginRequest(`repeated-${seq}`);
    super.endRequest(next, response);
    return false;
  }
}

/** Planted fault: the holder takes each of its leases as ending much later. */
class EndlessPool extends TokenPool {
  override endShareRequest(
    seq: number,
    response: Parameters<TokenPool["endShareRequest"]>[1],
  ): boolean {
    return super.endShareRequest(
      seq,
      response === undefined ? undefined : { ...response, ttlMs: 60_000 },
    );
  }
}

function isBefore(
  a: { at: number; order: number },
  b: { at: number; order: number },
): boolean {
  return a.at < b.at || a.at === b.at && a.order < b.order;
}

function linkName(a: Vm, b: Vm): string {
  return [a.name, b.name].sort().join("|");
}
