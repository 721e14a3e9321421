import type { z } from "zod";
import type { Clock } from "../base/clock.ts";
import { packDomainLoads } from "./pack_domain_loads.ts";
import type { PackedDomainLoads } from "./packed_domain_loads.ts";
import { unpackDomainLoads } from "./unpack_domain_loads.ts";
import type { DomainLoad } from "./domain_load.ts";
import type { DomainLoadMessage } from "./domain_load_message.ts";
import { DomainLoadSums } from "./domain_load_sums.ts";

type FromVm = z.infer<typeof DomainLoadMessage.fromVm>;
type FromRelay = z.infer<typeof DomainLoadMessage.fromRelay>;
type Options = {
  vm: string;
  /** Region of this VM. */
  region: string;
  regionOf: (domain: string) => string;
  /** @returns this VM's part of the loads; undefined if none are needed */
  localLoads: (now: number) => DomainLoad[] | undefined;
  clock: Clock;
};
/** VMs query their relay every 500 ms; one lost query changes nothing. */
const VM_MAX_AGE_MS = 1600;
const VM_SETTLE_MS = 800;
/** Relays report to the leader at least every 1.2 s. */
const REGION_MAX_AGE_MS = 3700;
const REGION_SETTLE_MS = 1500;
/**
 * VMs whose keys move query their relay more often than every 500 ms; those
 * queries carry no loads.
 */
const MIN_QUERY_INTERVAL_MS = 400;
/**
 * Figures of other regions are requested with every fourth of these. With ages
 * of 4 s instead of 2 s, fewer requests were in time in the model's waves.
 */
const QUERIES_PER_FAR_QUERY = 4;
const NEAR_MAX_AGE_MS = 1800;
const FAR_MAX_AGE_MS = 6000;

/**
 * Exchanges the loads of services and failure domains. Each VM reports its part
 * to the relay of its region, which adds them up and reports the sums to the
 * leader; the answers carry the sums back. All of it is part of messages that
 * are sent anyway.
 */
export class DomainLoadExchange {
  readonly #opts: Options;
  /** On a relay: the VMs of its region. */
  readonly #vms = new DomainLoadSums(VM_MAX_AGE_MS, VM_SETTLE_MS);
  /** On the leader: the regions. */
  readonly #regions = new DomainLoadSums(REGION_MAX_AGE_MS, REGION_SETTLE_MS);
  /** On a relay: what the VMs of other regions add. */
  #others: { loads: readonly DomainLoad[]; at: number } | undefined;
  readonly #figures = new Map<string, DomainLoad>();
  #queries = 0;
  #queriedAt = Number.NEGATIVE_INFINITY;
  #answeredAt = Number.NEGATIVE_INFINITY;
  #farAnsweredAt = Number.NEGATIVE_INFINITY;

  /**
   * @param opts - location and measurements of this VM
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @returns this VM's part, for its query to the relay; undefined if it was
   * sent shortly before or no service is balanced
   */
  query(): FromVm | undefined {
    const { vm, localLoads, clock } = this.#opts;
    const now = clock.now();
    if (now - this.#queriedAt < MIN_QUERY_INTERVAL_MS) return undefined;
    const loads = localLoads(now);
    if (loads === undefined) return undefined;
    this.#queriedAt = now;
    const far = this.#queries % QUERIES_PER_FAR_QUERY === 0;
    this.#queries++;
    const own = packDomainLoads(loads);
    return far ? { vm, own, far } : { vm, own };
  }

  /**
   * Handles the part of another VM; on a relay.
   *
   * @param query - the part; undefined from VMs of an older version
   * @returns the sums for that VM; undefined while they are not complete
   */
  onQuery(query: FromVm | undefined): FromRelay | undefined {
    if (query === undefined) return undefined;
    const now = this.#opts.clock.now();
    this.#vms.set(query.vm, unpackDomainLoads(query.own), now);
    const own = this.#vms.sums(now);
    if (own === undefined) return undefined;
    const { regionOf, region } = this.#opts;
    const others = this.#othersAt(now);
    const all = addUp(own, others ?? []);
    const near = packDomainLoads(
      all.filter(({ domain }) => regionOf(domain) === region),
    );
    // Without the leader's sums, other regions would seem to be idle.
    return query.far === true && others !== undefined
      ? {
        near,
        far: packDomainLoads(
          all.filter(({ domain }) => regionOf(domain) !== region),
        ),
      }
      : { near };
  }

  /**
   * Takes the relay's answer.
   *
   * @param answer - the sums; undefined if the relay has none
   * @param sentAt - when the query was sent, in monotonic milliseconds
   */
  onAnswer(answer: FromRelay | undefined, sentAt: number): void {
    if (answer === undefined) return;
    const { regionOf, region } = this.#opts;
    const isNear = (domain: string) => regionOf(domain) === region;
    for (const key of this.#figures.keys()) {
      const domain = key.slice(key.indexOf("\n") + 1);
      if (isNear(domain) || answer.far !== undefined) this.#figures.delete(key);
    }
    for (const packed of [answer.near, answer.far]) {
      if (packed === undefined) continue;
      for (const load of unpackDomainLoads(packed)) {
        this.#figures.set(`${load.service}\n${load.domain}`, load);
      }
    }
    this.#answeredAt = sentAt;
    if (answer.far !== undefined) this.#farAnsweredAt = sentAt;
  }

  /** Queries this VM itself; called at each query interval on a relay. */
  queryOwn(): void {
    this.onAnswer(this.onQuery(this.query()), this.#opts.clock.now());
  }

  /**
   * @returns on a relay, the sums over its region for the report to the leader
   */
  regionLoads(): PackedDomainLoads | undefined {
    const sums = this.#vms.sums(this.#opts.clock.now());
    return sums === undefined ? undefined : packDomainLoads(sums);
  }

  /**
   * Handles the sums of a region; on the leader.
   *
   * @param region - the region
   * @param loads - its sums; undefined if the reporting VM is not its relay
   * @returns the sums over the other regions, for the relay
   */
  onRegionLoads(
    region: string,
    loads: PackedDomainLoads | undefined,
  ): PackedDomainLoads | undefined {
    if (loads === undefined) return undefined;
    const now = this.#opts.clock.now();
    this.#regions.set(region, unpackDomainLoads(loads), now);
    const sums = this.#regions.sums(now, region);
    return sums === undefined ? undefined : packDomainLoads(sums);
  }

  /**
   * Takes the leader's answer; on a relay.
   *
   * @param loads - the sums over the other regions
   */
  onOtherRegions(loads: PackedDomainLoads | undefined): void {
    if (loads === undefined) return;
    this.#others = {
      loads: unpackDomainLoads(loads),
      at: this.#opts.clock.now(),
    };
  }

  /**
   * @param service - name of a service
   * @param domain - a failure domain
   * @param now - monotonic milliseconds
   * @returns its load over all VMs; undefined if it is not known
   */
  figures(
    service: string,
    domain: string,
    now: number,
  ): DomainLoad | undefined {
    const { regionOf, region } = this.#opts;
    const near = regionOf(domain) === region;
    const at = near ? this.#answeredAt : this.#farAnsweredAt;
    if (now - at > (near ? NEAR_MAX_AGE_MS : FAR_MAX_AGE_MS)) return undefined;
    return this.#figures.get(`${service}\n${domain}`) ??
      { service, domain, inFlight: 0, workPerS: 0 };
  }

  #othersAt(now: number): readonly DomainLoad[] | undefined {
    const others = this.#others;
    return others === undefined || now - others.at > REGION_MAX_AGE_MS
      ? undefined
      : others.loads;
  }
}

function addUp(
  own: readonly DomainLoad[],
  others: readonly DomainLoad[],
): DomainLoad[] {
  const sums = new DomainLoadSums(Infinity, 0);
  sums.set("own", own, 0);
  sums.set("others", others, 0);
  return sums.sums(0) ?? [];
}
