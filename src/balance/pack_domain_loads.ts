import type { PackedDomainLoads } from "./packed_domain_loads.ts";
import { roundLoad } from "./round_load.ts";
import type { DomainLoad } from "./domain_load.ts";

/**
 * @param loads - loads to be sent
 * @returns their short form, with rounded figures
 */
export function packDomainLoads(
  loads: readonly DomainLoad[],
): PackedDomainLoads {
  const domains = [...new Set(loads.map(({ domain }) => domain))];
  const packed: PackedDomainLoads = { domains, loads: {} };
  for (const { service, domain, inFlight, workPerS } of loads) {
    const index = domains.indexOf(domain);
    const requests = roundLoad(inFlight);
    const work = roundLoad(workPerS);
    (packed.loads[service] ??= []).push(
      work === 0 ? [index, requests] : [index, requests, work],
    );
  }
  return packed;
}
