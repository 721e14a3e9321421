import type { DomainsAnswer } from "./domains_answer.ts";
import type { VmsAnswer } from "./vms_answer.ts";

/**
 * Lists the failure domains of VMs.
 *
 * @param vms - every known VM
 * @returns the failure domains of the VMs, sorted by region and name
 */
export function describeDomains(vms: VmsAnswer): DomainsAnswer {
  const domains = new Map<string, DomainsAnswer["domains"][number]>();
  for (const { failureDomain, region, kind, domainOut } of vms.vms) {
    const key = `${region}/${failureDomain}`;
    const domain = domains.get(key) ?? {
      name: failureDomain,
      region,
      out: domainOut,
      entryVms: 0,
      upstreamVms: 0,
    };
    domains.set(key, domain);
    if (kind === "entry") domain.entryVms += 1;
    else domain.upstreamVms += 1;
  }
  return {
    vmListRead: vms.vmListRead,
    domains: [...domains].sort(([a], [b]) => a < b ? -1 : 1)
      .map(([, domain]) => domain),
  };
}
