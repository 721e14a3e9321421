import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import type { RouterSession } from "./router_session.ts";
import type { ServiceState } from "./service_state.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

type Context = {
  region: string;
  out: CatalogueDocument["out"];
  vms: readonly ListedVm[];
  /** Routers whose lease may be in force. */
  routers: readonly RouterSession[];
  now: number;
  /** Every dispatch lease given before the term has ended. */
  allReported: boolean;
};

// With one router, its loss says nothing about the upstreams beside it.
const MIN_ROUTERS_OF_DARK_DOMAIN = 2;

/**
 * @param state - state of the service
 * @param context - the VM list, the routers and what operators took out
 * @returns what is known of each upstream that is listed or in the row
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
  const dark = darkDomains(context);
  const facts = listed.map(({ id, address, failureDomain, state: listing }) => {
    const seen = reportOn(state, id, routers, now);
    const lostDomain = dark.has(failureDomain) ? "lost" as const : undefined;
    return {
      id,
      address,
      failureDomain,
      out: listing === "leaving" || seen?.state === "draining" ||
        out.vms.includes(id) || out.failureDomains.includes(failureDomain),
      state: seen?.state ?? lostDomain,
      // A median of old requests says nothing about the present speed.
      serviceMs: seen !== undefined && seen.ratePerS > 0 ? seen.serviceMs : 0,
      ratePerS: seen?.ratePerS ?? 0,
    };
  });
  const gone = state.content.upstreams
    .filter((place) => !listed.some((vm) => vm.id === place.id))
    .map((place) => ({
      ...place,
      out: true,
      state: reportOn(state, place.id, routers, now)?.state,
      serviceMs: 0,
      ratePerS: 0,
    }));
  return [...facts, ...gone].sort((a, b) => a.id < b.id ? -1 : 1);
}

function reportOn(
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
 * Failure domains all of whose routers are silent. Their upstreams count as
 * lost at once, because finding each of them lost through a router elsewhere
 * would take another second.
 */
function darkDomains(context: Context): Set<string> {
  const { region, vms, routers, allReported } = context;
  const dark = new Set<string>();
  if (!allReported || routers.length === 0) return dark;
  const entries = vms.filter((vm) =>
    vm.kind === "entry" && vm.region === region
  );
  for (const { failureDomain } of entries) {
    const listed = entries.filter((vm) => vm.failureDomain === failureDomain);
    if (
      listed.length >= MIN_ROUTERS_OF_DARK_DOMAIN &&
      !routers.some((router) => router.failureDomain === failureDomain)
    ) dark.add(failureDomain);
  }
  return dark;
}
