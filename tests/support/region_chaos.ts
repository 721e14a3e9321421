import type { OwnershipSimulation } from "./ownership_simulation.ts";

/**
 * Runs a region under random faults. Every fault has ended when the function
 * returns; the region may not have recovered from it yet.
 *
 * @param region - the region; ownership is checked at every step
 * @param ms - simulated time to run for, in milliseconds
 * @throws Error if a key or an upstream has two owners
 */
export async function runRandomFaults(
  region: OwnershipSimulation,
  ms: number,
): Promise<void> {
  const { faults, peers, table } = region;
  const vms = [...region.routers.keys()];
  const upstreams = [...region.upstreams.values()];
  const pendingReversals: { at: number; act: () => void }[] = [];
  const revertLater = (act: () => void) =>
    pendingReversals.push({
      at: region.clock.now() + 200 + faults.next() * 4000,
      act,
    });
  const actions: (() => void)[] = [
    () => {
      const { process } = region.routers.get(faults.pick(vms))!;
      process.pause();
      revertLater(() => process.resume());
    },
    () => {
      const vm = faults.pick(vms);
      region.routers.get(vm)!.process.kill();
      revertLater(() => {
        if (region.routers.get(vm)!.process.signal.aborted) region.start(vm);
      });
    },
    () => {
      // A new process starts while the previous one is paused and may still
      // hold a lease.
      const vm = faults.pick(vms);
      const previous = region.routers.get(vm)!;
      previous.process.pause();
      revertLater(() => {
        previous.process.resume();
        revertLater(() => previous.process.kill());
      });
      region.start(vm);
    },
    () => {
      const vm = faults.pick(vms);
      peers.isolated.add(vm);
      revertLater(() => peers.isolated.delete(vm));
    },
    () => {
      // The network switch of one failure domain fails.
      const failureDomain = faults.pick(["east", "west"]);
      region.isolate(failureDomain);
      revertLater(() => region.rejoin(failureDomain));
    },
    () => {
      const holder = [...region.routers.values()]
        .find((router) => router.lease.held() !== undefined);
      holder?.process.pause();
      revertLater(() => holder?.process.resume());
    },
    () => {
      table.down = true;
      revertLater(() => table.down = false);
    },
    () => {
      const upstream = faults.pick(upstreams);
      upstream.reachable = false;
      revertLater(() => upstream.reachable = true);
    },
    () => {
      const { id } = faults.pick(upstreams);
      region.setListedState(id, "leaving");
      revertLater(() => region.setListedState(id, "live"));
    },
    () => {
      const failureDomain = faults.pick(["east", "west"]);
      region.setOutOfService({ vms: [], failureDomains: [failureDomain] });
      revertLater(() =>
        region.setOutOfService({ vms: [], failureDomains: [] })
      );
    },
    () => {
      const digest = faults.pick(region.keys);
      const service = faults.pick(["ledger", "usage"]);
      region.hotKeys = [{ service, digest, upstream: "any", ratePerS: 12 }];
      revertLater(() => region.hotKeys = []);
    },
  ];
  faults.lossProbability = faults.next() * 0.15;
  faults.maxDelayMs = 5 + faults.next() * 60;
  const end = region.clock.now() + ms;
  while (region.clock.now() < end) {
    if (pendingReversals.length < 3) faults.pick(actions)();
    await region.advance(100 + faults.next() * 900);
    for (
      const item of pendingReversals.filter(({ at }) =>
        at <= region.clock.now()
      )
    ) {
      item.act();
      pendingReversals.splice(pendingReversals.indexOf(item), 1);
    }
  }
  for (const { act } of pendingReversals) act();
  faults.lossProbability = 0;
  faults.maxDelayMs = 5;
}
