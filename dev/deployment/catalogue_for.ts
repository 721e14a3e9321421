import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import type { Preset } from "./preset.ts";

// High limits, so that they do not restrict demos, benches and tests.
const HIGH_RATE_LIMIT_PER_S = 100_000;
const HIGH_CONCURRENCY_LIMIT = 20_000;

/**
 * Builds the catalogue of a deployment.
 *
 * @param preset - the deployment
 * @returns a catalogue with two entries for each service: `<service>` is
 * idempotent, `<service>-once` is not; keys are in the header `x-test-key`
 */
export function catalogueFor(preset: Preset): CatalogueDocument {
  const services: CatalogueDocument["services"] = {};
  const entries: CatalogueDocument["entries"] = {};
  for (const service of preset.services) {
    services[service.name] = {
      shards: 512,
      slots: service.slots,
      connections: service.connections,
      queue: 64,
      maxRunMs: 2000,
      coldStart: { concurrency: 1, ratePerS: 10, rampMs: 1000 },
    };
    for (const idempotent of [true, false]) {
      const name = idempotent ? service.name : `${service.name}-once`;
      entries[name] = {
        owner: "demo",
        class: "interactive",
        service: service.name,
        match: { pathPrefix: `/${name}/` },
        keySource: service.keyed
          ? { kind: "header", name: "x-test-key" }
          : { kind: "none" },
        homeRegions: [...preset.regions],
        idempotent,
        checksGrants: service.checksGrants,
        limits: {
          ratePerS: HIGH_RATE_LIMIT_PER_S,
          concurrency: HIGH_CONCURRENCY_LIMIT,
          maxBodyBytes: 1024 * 1024,
          maxRequestMs: 8000,
        },
      };
    }
  }
  return {
    schema: 1,
    services,
    entries,
    out: { failureDomains: [], vms: [] },
  };
}
