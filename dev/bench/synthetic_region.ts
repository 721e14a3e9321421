import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";

type RegionSize = {
  routers: number;
  services: number;
  upstreamsPerService: number;
  shards: number;
  entries: number;
  /** Pinned keys of each service. */
  pins: number;
  failureDomains: number;
};

const REGION = "sierra";
const DIGEST_DIGITS = 16;
// Odd multiplier of Knuth's multiplicative hash; spreads digests over shards.
const HASH_MULTIPLIER = 2654435761;

/**
 * Generates a region of any size in its steady state: every shard has an owner,
 * every upstream a dispatcher, and every router has demand for every entry.
 */
export class SyntheticRegion {
  readonly region = REGION;
  readonly size: RegionSize;

  /**
   * @param size - number of routers, services, entries and so on of the whole
   * region
   */
  constructor(size: RegionSize) {
    this.size = size;
  }

  /**
   * @returns a catalogue with the services and entries
   */
  catalogue(): CatalogueDocument {
    const { services, entries, shards } = this.size;
    return CatalogueDocument.parse({
      schema: 1,
      services: Object.fromEntries(
        this.#range(services).map((index) => [
          `service-${index}`,
          { shards, slots: 2, connections: 130 },
        ]),
      ),
      entries: Object.fromEntries(
        this.#range(Math.max(services, entries)).map((index) => [
          `entry-${index}`,
          {
            owner: `owner-${index}`,
            class: "interactive",
            service: `service-${index % services}`,
            match: { pathPrefix: `/customer/${index}/` },
            keySource: { kind: "header", name: "x-key" },
            homeRegions: [REGION],
            idempotent: false,
            checksGrants: true,
            limits: { ratePerS: 1000, concurrency: 10_000 },
          },
        ]),
      ),
    });
  }

  /**
   * @returns the VM list
   */
  vms(): ListedVm[] {
    return [
      ...this.#range(this.size.routers).map((index) => ({
        id: this.#routerId(index),
        kind: "entry" as const,
        address: `10.0.${index >> 8}.${index & 255}:8080`,
        region: REGION,
        failureDomain: this.#failureDomainOf(index),
        state: "live" as const,
      })),
      ...this.#range(this.size.services).flatMap((service) =>
        this.#range(this.size.upstreamsPerService).map((index) => ({
          id: this.#upstreamId(service, index),
          kind: "upstream" as const,
          address: `10.1.${service}.${index}:8080`,
          service: `service-${service}`,
          region: REGION,
          failureDomain: this.#failureDomainOf(index),
          state: "live" as const,
        }))
      ),
    ];
  }

  /**
   * @returns an assignment row of each service; epoch 1, dispatch terms of
   * epoch 1
   */
  rows(): AssignmentRow[] {
    const { services, upstreamsPerService, shards, pins } = this.size;
    return this.#range(services).map((service) =>
      AssignmentRow.parse({
        schema: 1,
        service: `service-${service}`,
        region: REGION,
        coordinatorEpoch: 1,
        writeId: "00000000-0000-4000-8000-000000000000",
        upstreams: this.#range(upstreamsPerService).map((index) => ({
          id: this.#upstreamId(service, index),
          address: `10.1.${service}.${index}:8080`,
          failureDomain: this.#failureDomainOf(index),
        })),
        shards: this.#range(shards)
          .map((shard) => shard % upstreamsPerService),
        tenures: Object.fromEntries(
          this.#range(upstreamsPerService).map((index) => [
            this.#upstreamId(service, index),
            { vm: this.#dispatcherOf(service, index), epoch: 1 },
          ]),
        ),
        pins: Object.fromEntries(
          this.#range(pins).map((pin) => [
            this.#digest(service, pin),
            this.#upstreamId(service, pin % upstreamsPerService),
          ]),
        ),
      })
    );
  }

  /**
   * @param index - index of the router
   * @returns what the router reports in the steady state, without the fields
   * that change from report to report
   */
  report(index: number): RenewParams {
    const { services, upstreamsPerService, pins, entries } = this.size;
    const vm = this.#routerId(index);
    const ownUpstreams = this.#range(services).flatMap((service) =>
      this.#range(upstreamsPerService)
        .filter((upstream) => this.#dispatcherOf(service, upstream) === vm)
        .map((upstream) => ({ service, upstream }))
    );
    const namedUpstreams = ownUpstreams.map(({ service, upstream }) => ({
      service: `service-${service}`,
      upstream: this.#upstreamId(service, upstream),
    }));
    return {
      vm,
      incarnation: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}`,
      failureDomain: this.#failureDomainOf(index),
      seq: 1,
      answeredSeq: 0,
      coordinatorEpoch: 0,
      rows: Object.fromEntries(
        this.#range(services).map((service) => [`service-${service}`, 1]),
      ),
      leaving: false,
      tenures: namedUpstreams.map((item) => ({ ...item, epoch: 1 })),
      released: [],
      ended: [],
      upstreams: namedUpstreams.map((item) => ({
        ...item,
        state: "warm" as const,
        inFlight: 1,
        queued: 0,
        serviceMs: 4.125,
        ratePerS: 100.5,
      })),
      hotKeys: ownUpstreams.flatMap(({ service, upstream }) =>
        this.#range(pins)
          .filter((pin) => pin % upstreamsPerService === upstream)
          .map((pin) => ({
            service: `service-${service}`,
            digest: this.#digest(service, pin),
            upstream: this.#upstreamId(service, upstream),
            ratePerS: 50.25,
          }))
      ),
      limits: this.#range(Math.max(services, entries)).map((entry) => ({
        entry: `entry-${entry}`,
        demandPerS: 1.125 + index % 7,
        demandConcurrency: 1,
        heldRatePerS: 0,
        heldConcurrency: 0,
      })),
    };
  }

  #range(count: number): number[] {
    return Array.from({ length: count }, (_, index) => index);
  }

  #routerId(index: number): string {
    return `entry-${String(index).padStart(5, "0")}`;
  }

  #upstreamId(service: number, index: number): string {
    return `upstream-${service}-${String(index).padStart(3, "0")}`;
  }

  #failureDomainOf(index: number): string {
    return `${REGION}-${index % this.size.failureDomains}`;
  }

  /**
   * Returns a router of the upstream's failure domain: the coordinator would
   * replace a dispatcher of another domain.
   */
  #dispatcherOf(service: number, index: number): string {
    const { routers, upstreamsPerService, failureDomains } = this.size;
    const domain = index % failureDomains;
    const domainRouterCount =
      Math.floor((routers - 1 - domain) / failureDomains) + 1;
    const position = Math.floor(
      (service * upstreamsPerService + index) / failureDomains,
    );
    return this.#routerId(
      domain + (position % domainRouterCount) * failureDomains,
    );
  }

  #digest(service: number, pin: number): string {
    const highBits = ((service * 4096 + pin + 1) * HASH_MULTIPLIER) % 2 ** 32;
    return highBits.toString(16).padStart(8, "0").padEnd(DIGEST_DIGITS, "0");
  }
}
