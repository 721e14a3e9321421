import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import { assignDispatchers } from "../shards/assign_dispatchers.ts";
import type { RouterSession } from "./router_session.ts";
import type { ServiceState } from "./service_state.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

// Handovers that only improve the balance start while fewer than this many are
// in progress: each one interrupts an upstream for a drain and a write.
const MAX_VOLUNTARY_HANDOVERS = 2;

/**
 * Chooses the dispatchers of all services together, so that the number of
 * upstreams of each router is balanced across services, and starts handovers by
 * marking dispatch terms as `ending`.
 *
 * @param input - `services` with the facts on their upstreams; `routers` whose
 * lease may be in force; `out`, what operators took out of service; `vms`, the
 * VM list; `now`, the coordinator's clock
 * @returns the router process that is to dispatch, by service and upstream
 */
export function planDispatchers(input: {
  services: readonly { state: ServiceState; facts: readonly UpstreamFacts[] }[];
  routers: readonly RouterSession[];
  out: CatalogueDocument["out"];
  vms: readonly ListedVm[];
  now: number;
}): Map<string, Map<string, { vm: string; incarnation: string }>> {
  const { services, routers, now } = input;
  const usable = routers.filter((router) => isUsable(router, input));
  const byVm = new Map(usable.map((router) => [router.vm, router]));
  const upstreams = services.flatMap(({ state, facts }) =>
    facts.filter((item) => !item.out).map((item) => ({
      id: `${state.service}/${item.id}`,
      failureDomain: item.failureDomain,
    }))
  );
  const current = new Map<string, string>();
  let handovers = 0;
  for (const { state } of services) {
    for (const [upstream, term] of state.terms) {
      if (term.isOver(now)) continue;
      if (term.ending) handovers += 1;
      else current.set(`${state.service}/${upstream}`, term.vm);
    }
  }
  const plannedVms = assignDispatchers({
    upstreams,
    routers: usable.map(({ vm, failureDomain }) => ({ id: vm, failureDomain })),
    current,
  });

  const result = new Map<
    string,
    Map<string, { vm: string; incarnation: string }>
  >();
  for (const { state, facts } of services) {
    const dispatchers = new Map<string, { vm: string; incarnation: string }>();
    result.set(state.service, dispatchers);
    for (const { id, out } of facts) {
      const plannedVm = plannedVms.get(`${state.service}/${id}`) ?? "";
      const successor = byVm.get(plannedVm);
      if (successor !== undefined) {
        const { vm, incarnation } = successor;
        dispatchers.set(id, { vm, incarnation });
      }
      const term = state.terms.get(id);
      // The dispatch term of an upstream that is out ends once the upstream
      // owns nothing.
      if (term === undefined || term.isOver(now) || out) continue;
      const holder = routers.find((router) => router.vm === term.vm);
      // A router that no longer reports cannot drain; its lease expires.
      if (term.ending || holder === undefined) continue;
      const restarted = term.incarnation !== undefined &&
        term.incarnation !== holder.incarnation;
      const isForced = holder.report.leaving || restarted ||
        (successor !== undefined && !byVm.has(term.vm));
      const isBetter = successor !== undefined && successor.vm !== term.vm &&
        handovers < MAX_VOLUNTARY_HANDOVERS;
      if (!isForced && !isBetter) continue;
      term.ending = true;
      handovers += 1;
    }
  }
  return result;
}

function isUsable(
  router: RouterSession,
  input: { out: CatalogueDocument["out"]; vms: readonly ListedVm[] },
): boolean {
  const { out, vms } = input;
  const listed = vms.find((vm) => vm.id === router.vm);
  return !router.report.leaving && listed?.state !== "leaving" &&
    !out.vms.includes(router.vm) &&
    !out.failureDomains.includes(router.failureDomain);
}
