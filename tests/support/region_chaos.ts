import type { RegionWorld } from "./region_world.ts";

/**
 * Lets a region run under random faults. Every fault ends before the function
 * returns, but its consequences may not have.
 */
export async function regionChaos(
  world: RegionWorld,
  ms: number,
): Promise<void> {
  const { faults, peers, table } = world;
  const vms = [...world.routers.keys()];
  const upstreams = [...world.upstreams.values()];
  const undo: { at: number; act: () => void }[] = [];
  const later = (act: () => void) =>
    undo.push({ at: world.clock.now() + 200 + faults.next() * 4000, act });
  const actions: (() => void)[] = [
    () => {
      const { process } = world.routers.get(faults.pick(vms))!;
      process.pause();
      later(() => process.resume());
    },
    () => {
      const vm = faults.pick(vms);
      world.routers.get(vm)!.process.kill();
      later(() => {
        if (world.routers.get(vm)!.process.signal.aborted) world.start(vm);
      });
    },
    () => {
      // A new process while the former one is paused and still holds a lease.
      const vm = faults.pick(vms);
      const before = world.routers.get(vm)!;
      before.process.pause();
      later(() => {
        before.process.resume();
        later(() => before.process.kill());
      });
      world.start(vm);
    },
    () => {
      const vm = faults.pick(vms);
      peers.cut.add(vm);
      later(() => peers.cut.delete(vm));
    },
    () => {
      // A switch of one failure domain fails.
      const domain = faults.pick(["east", "west"]);
      world.isolate(domain);
      later(() => world.rejoin(domain));
    },
    () => {
      const holder = [...world.routers.values()]
        .find((router) => router.lease.held() !== undefined);
      holder?.process.pause();
      later(() => holder?.process.resume());
    },
    () => {
      table.down = true;
      later(() => table.down = false);
    },
    () => {
      const upstream = faults.pick(upstreams);
      upstream.reachable = false;
      later(() => upstream.reachable = true);
    },
    () => {
      const { id } = faults.pick(upstreams);
      world.setListed(id, "leaving");
      later(() => world.setListed(id, "live"));
    },
    () => {
      const failureDomain = faults.pick(["east", "west"]);
      world.setOut({ vms: [], failureDomains: [failureDomain] });
      later(() => world.setOut({ vms: [], failureDomains: [] }));
    },
    () => {
      const digest = faults.pick(world.keys);
      const service = faults.pick(["ledger", "usage"]);
      world.hotKeys = [{ service, digest, upstream: "any", ratePerS: 12 }];
      later(() => world.hotKeys = []);
    },
  ];
  faults.loss = faults.next() * 0.15;
  faults.maxDelayMs = 5 + faults.next() * 60;
  const end = world.clock.now() + ms;
  while (world.clock.now() < end) {
    if (undo.length < 3) faults.pick(actions)();
    await world.run(100 + faults.next() * 900);
    for (const item of undo.filter(({ at }) => at <= world.clock.now())) {
      item.act();
      undo.splice(undo.indexOf(item), 1);
    }
  }
  for (const { act } of undo) act();
  faults.loss = 0;
  faults.maxDelayMs = 5;
}
