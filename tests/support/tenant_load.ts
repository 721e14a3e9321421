import type { Tenant } from "../../src/tenants/tenant.ts";
import { TenantFleet } from "./tenant_fleet.ts";

const MS_PER_S = 1000;
/** The VMs start this long before the requests. */
const START_MS = 12_000;

type Load = {
  seed: number;
  vmsPerRegion: number;
  tenants: readonly { tenant: Tenant; load: number }[];
  /** Fraction of the requests that arrive in the first of two regions. */
  firstRegion: number;
  durationMs: number;
  /** Called when the requests begin. */
  onStart?: (fleet: TenantFleet) => void;
};

/**
 * Simulates requests to two regions without faults.
 *
 * @returns refused fraction by tenant, the longest run of refusals in ms, and
 * calls and bytes of their bodies per VM and second
 */
export function tenantLoad(
  { seed, vmsPerRegion, tenants, firstRegion, durationMs, onStart }: Load,
): {
  refused: Map<string, number>;
  fleet: TenantFleet;
  callsPerS: number;
  bytesPerS: number;
} {
  const fleet = new TenantFleet({
    seed,
    regions: 2,
    vmsPerRegion,
    tenants: tenants.map(({ tenant }) => tenant),
  });
  const { random } = fleet;
  for (const { tenant, load } of tenants) {
    const meanMs = MS_PER_S / (tenant.ratePerS * load);
    const next = (at: number) => {
      if (at > START_MS + durationMs) return;
      fleet.at(at, () => {
        const region = random.next() < firstRegion ? 0 : 1;
        const index = Math.floor(random.next() * vmsPerRegion);
        fleet.request(fleet.vms[region * vmsPerRegion + index]!, tenant);
        next(at - Math.log(1 - random.next()) * meanMs);
      });
    };
    next(START_MS);
  }
  fleet.runUntil(START_MS);
  fleet.messages = 0;
  fleet.bytes = 0;
  onStart?.(fleet);
  fleet.runUntil(START_MS + durationMs + MS_PER_S);
  const refused = new Map<string, number>();
  for (const { tenant: { name } } of tenants) {
    const results = fleet.results.get(name) ?? [];
    const count = results.filter(({ admitted }) => !admitted).length;
    refused.set(name, count / Math.max(1, results.length));
  }
  const vmSeconds = 2 * vmsPerRegion * durationMs / MS_PER_S;
  return {
    refused,
    fleet,
    callsPerS: fleet.messages / vmSeconds,
    bytesPerS: fleet.bytes / vmSeconds,
  };
}
