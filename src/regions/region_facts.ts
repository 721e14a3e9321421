import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import type { RouterSession } from "./router_session.ts";
import type { ServiceState } from "./service_state.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

type Context = {
  region: string;
  out: CatalogueDocument["out"];
  vms: readonly ListedVm[];
  /** Routers whose dispatch lease may be in force. */
  routers: readonly RouterSession[];
  now: number;
  /**
   * Whether every dispatch lease granted by a former coordinator has expired,
   * so that every router with a lease has reported.
   */
  allReported: boolean;
};

// The loss of a single router does not indicate that the upstreams in its
// failure domain are lost.
const MIN_ROUTERS_FOR_DOMAIN_LOSS = 2;

/**
 * Collects what is known of each upstream of a service.
 *
 * @param state - state of the service
 * @param context - the VM list, the routers and what operators took out of
 * service
 * @returns facts on each upstream that is listed or in the row, sorted by id
 */
export function regionFacts(
  state: ServiceState,
  context: Context,
): UpstreamFacts[] {
  const { region, out, vms, routers, now } = context;
  const listed = vms.filter((vm) =>
    vm.kind === "upstream" && vm.service === state.service &&
    vm.region === region
  );
  const lostDomains = findLostDomains(context);
  const facts = listed.map(({ id, address, failureDomain, state: listing }) => {
    const reported = findReport(state, id, routers, now);
    const domainState = lostDomains.has(failureDomain)
      ? "lost" as const
      : undefined;
    return {
      id,
      address,
      failureDomain,
      out: listing === "leaving" || reported?.state === "draining" ||
        out.vms.includes(id) || out.failureDomains.includes(failureDomain),
      state: reported?.state ?? domainState,
      // Without recent requests the median does not show the current speed.
      serviceMs: reported !== undefined && reported.ratePerS > 0
        ? reported.serviceMs
        : 0,
      ratePerS: reported?.ratePerS ?? 0,
    };
  });
  const unlisted = state.content.upstreams
    .filter((upstream) => !listed.some((vm) => vm.id === upstream.id))
    .map((upstream) => ({
      ...upstream,
      out: true,
      state: findReport(state, upstream.id, routers, now)?.state,
      serviceMs: 0,
      ratePerS: 0,
    }));
  return [...facts, ...unlisted].sort((a, b) => a.id < b.id ? -1 : 1);
}

function findReport(
  state: ServiceState,
  upstream: string,
  routers: readonly RouterSession[],
  now: number,
): RouterSession["report"]["upstreams"][number] | undefined {
  const term = state.terms.get(upstream);
  if (term === undefined || term.isOver(now)) return undefined;
  const router = routers.find((item) =>
    term.belongsTo(item.vm, item.incarnation)
  );
  return router?.report.upstreams.find((item) =>
    item.service === state.service && item.upstream === upstream
  );
}

/**
 * Returns the failure domains whose routers have all stopped reporting. Their
 * upstreams count as lost at once: detecting the loss of each one by a router
 * in another domain would take another second.
 */
function findLostDomains(context: Context): Set<string> {
  const { region, vms, routers, allReported } = context;
  const lostDomains = new Set<string>();
  if (!allReported || routers.length === 0) return lostDomains;
  const entries = vms.filter((vm) =>
    vm.kind === "entry" && vm.region === region
  );
  for (const { failureDomain } of entries) {
    const listed = entries.filter((vm) => vm.failureDomain === failureDomain);
    if (
      listed.length >= MIN_ROUTERS_FOR_DOMAIN_LOSS &&
      !routers.some((router) => router.failureDomain === failureDomain)
    ) lostDomains.add(failureDomain);
  }
  return lostDomains;
}
