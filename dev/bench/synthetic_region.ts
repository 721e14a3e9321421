import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";

type Size = {
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
// Odd multiplier of Knuth's hash; spreads digests over shards.
const SPREAD = 2654435761;

/**
 * A region of any size in its steady state: every shard has an owner, every
 * upstream a dispatcher, and every router demand for every entry.
 */
export class SyntheticRegion {
  readonly region = REGION;
  readonly size: Size;

  /**
   * @param size - numbers of everything, over the whole region
   */
  constructor(size: Size) {
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
        id: this.#router(index),
        kind: "entry" as const,
        address: `10.0.${index >> 8}.${index & 255}:8080`,
        region: REGION,
        failureDomain: this.#domain(index),
        state: "live" as const,
      })),
      ...this.#range(this.size.services).flatMap((service) =>
        this.#range(this.size.upstreamsPerService).map((index) => ({
          id: this.#upstream(service, index),
          kind: "upstream" as const,
          address: `10.1.${service}.${index}:8080`,
          service: `service-${service}`,
          region: REGION,
          failureDomain: this.#domain(index),
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
          id: this.#upstream(service, index),
          address: `10.1.${service}.${index}:8080`,
          failureDomain: this.#domain(index),
        })),
        shards: this.#range(shards)
          .map((shard) => shard % upstreamsPerService),
        tenures: Object.fromEntries(
          this.#range(upstreamsPerService).map((index) => [
            this.#upstream(service, index),
            { vm: this.#dispatcher(service, index), epoch: 1 },
          ]),
        ),
        pins: Object.fromEntries(
          this.#range(pins).map((pin) => [
            this.#digest(service, pin),
            this.#upstream(service, pin % upstreamsPerService),
          ]),
        ),
      })
    );
  }

  /**
   * @param index - number of a router
   * @returns what the router reports in the steady state, without the fields
   * that change from report to report
   */
  report(index: number): RenewParams {
    const { services, upstreamsPerService, pins, entries } = this.size;
    const vm = this.#router(index);
    const own = this.#range(services).flatMap((service) =>
      this.#range(upstreamsPerService)
        .filter((upstream) => this.#dispatcher(service, upstream) === vm)
        .map((upstream) => ({ service, upstream }))
    );
    const named = own.map(({ service, upstream }) => ({
      service: `service-${service}`,
      upstream: this.#upstream(service, upstream),
    }));
    return {
      vm,
      incarnation: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}`,
      failureDomain: this.#domain(index),
      seq: 1,
      answeredSeq: 0,
      coordinatorEpoch: 0,
      rows: Object.fromEntries(
        this.#range(services).map((service) => [`service-${service}`, 1]),
      ),
      leaving: false,
      tenures: named.map((item) => ({ ...item, epoch: 1 })),
      released: [],
      ended: [],
      upstreams: named.map((item) => ({
        ...item,
        state: "warm" as const,
        inFlight: 1,
        queued: 0,
        serviceMs: 4.125,
        ratePerS: 100.5,
      })),
      hotKeys: own.flatMap(({ service, upstream }) =>
        this.#range(pins)
          .filter((pin) => pin % upstreamsPerService === upstream)
          .map((pin) => ({
            service: `service-${service}`,
            digest: this.#digest(service, pin),
            upstream: this.#upstream(service, upstream),
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

  #router(index: number): string {
    return `entry-${String(index).padStart(5, "0")}`;
  }

  #upstream(service: number, index: number): string {
    return `upstream-${service}-${String(index).padStart(3, "0")}`;
  }

  #domain(index: number): string {
    return `${REGION}-${index % this.size.failureDomains}`;
  }

  /** A router of the upstream's failure domain, or the coordinator moves it. */
  #dispatcher(service: number, index: number): string {
    const { routers, upstreamsPerService, failureDomains } = this.size;
    const domain = index % failureDomains;
    const locals = Math.floor((routers - 1 - domain) / failureDomains) + 1;
    const place = Math.floor(
      (service * upstreamsPerService + index) / failureDomains,
    );
    return this.#router(domain + (place % locals) * failureDomains);
  }

  #digest(service: number, pin: number): string {
    const high = ((service * 4096 + pin + 1) * SPREAD) % 2 ** 32;
    return high.toString(16).padStart(8, "0").padEnd(DIGEST_DIGITS, "0");
  }
}
