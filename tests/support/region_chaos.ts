import type { RegionWorld } from "./region_world.ts";

/**
 * Runs a region under random faults. Every fault has ended when the function
 * returns; the region may not have recovered from it yet.
 *
 * @param world - the region; ownership is checked at every step
 * @param ms - simulated time to run for, in milliseconds
 * @throws Error if a key or an upstream has two owners
 */
export async function regionChaos(
  world: RegionWorld,
  ms: number,
): Promise<void> {
  const { faults, peers, table } = world;
  const vms = [...world.routers.keys()];
  const upstreams = [...world.upstreams.values()];
  const pendingReversals: { at: number; act: () => void }[] = [];
  const revertLater = (act: () => void) =>
    pendingReversals.push({
      at: world.clock.now() + 200 + faults.next() * 4000,
      act,
    });
  const actions: (() => void)[] = [
    () => {
      const { process } = world.routers.get(faults.pick(vms))!;
      process.pause();
      revertLater(() => process.resume());
    },
    () => {
      const vm = faults.pick(vms);
      world.routers.get(vm)!.process.kill();
      revertLater(() => {
        if (world.routers.get(vm)!.process.signal.aborted) world.start(vm);
      });
    },
    () => {
      // A new process starts while the previous one is paused and may still
      // hold a lease.
      const vm = faults.pick(vms);
      const previous = world.routers.get(vm)!;
      previous.process.pause();
      revertLater(() => {
        previous.process.resume();
        revertLater(() => previous.process.kill());
      });
      world.start(vm);
    },
    () => {
      const vm = faults.pick(vms);
      peers.isolated.add(vm);
      revertLater(() => peers.isolated.delete(vm));
    },
    () => {
      // The network switch of one failure domain fails.
      const failureDomain = faults.pick(["east", "west"]);
      world.isolate(failureDomain);
      revertLater(() => world.rejoin(failureDomain));
    },
    () => {
      const holder = [...world.routers.values()]
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
      world.setListed(id, "leaving");
      revertLater(() => world.setListed(id, "live"));
    },
    () => {
      const failureDomain = faults.pick(["east", "west"]);
      world.setOut({ vms: [], failureDomains: [failureDomain] });
      revertLater(() => world.setOut({ vms: [], failureDomains: [] }));
    },
    () => {
      const digest = faults.pick(world.keys);
      const service = faults.pick(["ledger", "usage"]);
      world.hotKeys = [{ service, digest, upstream: "any", ratePerS: 12 }];
      revertLater(() => world.hotKeys = []);
    },
  ];
  faults.lossProbability = faults.next() * 0.15;
  faults.maxDelayMs = 5 + faults.next() * 60;
  const end = world.clock.now() + ms;
  while (world.clock.now() < end) {
    if (pendingReversals.length < 3) faults.pick(actions)();
    await world.run(100 + faults.next() * 900);
    for (
      const item of pendingReversals.filter(({ at }) => at <= world.clock.now())
    ) {
      item.act();
      pendingReversals.splice(pendingReversals.indexOf(item), 1);
    }
  }
  for (const { act } of pendingReversals) act();
  faults.lossProbability = 0;
  faults.maxDelayMs = 5;
}
