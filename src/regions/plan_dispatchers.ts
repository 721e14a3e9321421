import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import { assignDispatchers } from "../shards/assign_dispatchers.ts";
import type { RouterSession } from "./router_session.ts";
import type { ServiceState } from "./service_state.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

// Each handover interrupts an upstream for the time of a drain and a write.
const MAX_VOLUNTARY_HANDOVERS = 2;

/**
 * Chooses the dispatchers of all services together, so that the number of
 * upstreams for each router is balanced over services, and begins handovers.
 *
 * @param input - `services` with the facts on their upstreams; `routers` whose
 * lease may be in force
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
  const present = new Map<string, string>();
  let handovers = 0;
  for (const { state } of services) {
    for (const [upstream, term] of state.terms) {
      if (term.isOver(now)) continue;
      if (term.ending) handovers += 1;
      else present.set(`${state.service}/${upstream}`, term.vm);
    }
  }
  const wanted = assignDispatchers({
    upstreams,
    routers: usable.map(({ vm, failureDomain }) => ({ id: vm, failureDomain })),
    present,
  });

  const result = new Map<
    string,
    Map<string, { vm: string; incarnation: string }>
  >();
  for (const { state, facts } of services) {
    const dispatchers = new Map<string, { vm: string; incarnation: string }>();
    result.set(state.service, dispatchers);
    for (const { id, out } of facts) {
      const planned = wanted.get(`${state.service}/${id}`) ?? "";
      const successor = byVm.get(planned);
      if (successor !== undefined) {
        const { vm, incarnation } = successor;
        dispatchers.set(id, { vm, incarnation });
      }
      const term = state.terms.get(id);
      // An upstream that is out ends its dispatch term when it owns nothing
      // more.
      if (term === undefined || term.isOver(now) || out) continue;
      const holder = routers.find((router) => router.vm === term.vm);
      // A silent router cannot drain; its lease ends by itself.
      if (term.ending || holder === undefined) continue;
      const restarted = term.incarnation !== undefined &&
        term.incarnation !== holder.incarnation;
      const forced = holder.report.leaving || restarted ||
        (successor !== undefined && !byVm.has(term.vm));
      const better = successor !== undefined && successor.vm !== term.vm &&
        handovers < MAX_VOLUNTARY_HANDOVERS;
      if (!forced && !better) continue;
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
