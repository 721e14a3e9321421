import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { assignDispatchers } from "../../src/shards/assign_dispatchers.ts";

const placed = (prefix: string, domains: readonly number[]) =>
  domains.map((domain, index) => ({
    id: `${prefix}${index}`,
    failureDomain: `d${domain}`,
  }));

test("every upstream has a dispatcher of its own domain if there is one", () => {
  fc.assert(fc.property(
    fc.array(fc.nat(2), { minLength: 1, maxLength: 40 }),
    fc.array(fc.nat(2), { minLength: 1, maxLength: 12 }),
    (upstreamDomains, routerDomains) => {
      const upstreams = placed("u", upstreamDomains);
      const routers = placed("r", routerDomains);
      const wanted = assignDispatchers({
        upstreams,
        routers,
        present: new Map(),
      });
      assert.equal(wanted.size, upstreams.length);
      const again = assignDispatchers({ upstreams, routers, present: wanted });
      assert.deepEqual(again, wanted, "a second plan moved something");
      const counts = new Map(routers.map(({ id }) => [id, 0]));
      for (const router of wanted.values()) {
        counts.set(router, counts.get(router)! + 1);
      }
      const most = Math.ceil(2 * upstreams.length / routers.length);
      assert.ok([...counts.values()].every((count) => count <= most));
    },
  ));
});

test("a lost router's upstreams spread over its domain, no others move", () => {
  const upstreams = placed("u", new Array<number>(12).fill(0));
  const routers = placed("r", [0, 0, 0, 0]);
  const before = assignDispatchers({ upstreams, routers, present: new Map() });
  const after = assignDispatchers({
    upstreams,
    routers: routers.slice(1),
    present: before,
  });
  const changed = [...before].filter(([id, vm]) => after.get(id) !== vm);
  assert.equal(changed.length, 3);
  const counts = routers.slice(1).map(({ id }) =>
    [...after.values()].filter((vm) => vm === id).length
  );
  assert.deepEqual(counts, [4, 4, 4]);
});

test("without routers there is no dispatcher", () => {
  const upstreams = placed("u", [0, 1]);
  const wanted = assignDispatchers({
    upstreams,
    routers: [],
    present: new Map(),
  });
  assert.equal(wanted.size, 0);
});
