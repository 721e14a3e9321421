import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { assignDispatchers } from "../../src/shards/assign_dispatchers.ts";

const members = (prefix: string, domains: readonly number[]) =>
  domains.map((domain, index) => ({
    id: `${prefix}${index}`,
    failureDomain: `d${domain}`,
  }));

test("every upstream has a dispatcher of its own domain if one exists", () => {
  fc.assert(fc.property(
    fc.array(fc.nat(2), { minLength: 1, maxLength: 40 }),
    fc.array(fc.nat(2), { minLength: 1, maxLength: 12 }),
    (upstreamDomains, routerDomains) => {
      const upstreams = members("u", upstreamDomains);
      const routers = members("r", routerDomains);
      const wanted = assignDispatchers({
        upstreams,
        routers,
        current: new Map(),
      });
      assert.equal(wanted.size, upstreams.length);
      const again = assignDispatchers({ upstreams, routers, current: wanted });
      assert.deepEqual(again, wanted, "a second plan must move nothing");
      const counts = new Map(routers.map(({ id }) => [id, 0]));
      for (const router of wanted.values()) {
        counts.set(router, counts.get(router)! + 1);
      }
      const maxPerRouter = Math.ceil(2 * upstreams.length / routers.length);
      assert.ok([...counts.values()].every((count) => count <= maxPerRouter));
    },
  ));
});

test("only a lost router's upstreams move, spread over its domain", () => {
  const upstreams = members("u", new Array<number>(12).fill(0));
  const routers = members("r", [0, 0, 0, 0]);
  const before = assignDispatchers({ upstreams, routers, current: new Map() });
  const after = assignDispatchers({
    upstreams,
    routers: routers.slice(1),
    current: before,
  });
  const changed = [...before].filter(([id, vm]) => after.get(id) !== vm);
  assert.equal(changed.length, 3);
  const counts = routers.slice(1).map(({ id }) =>
    [...after.values()].filter((vm) => vm === id).length
  );
  assert.deepEqual(counts, [4, 4, 4]);
});

test("no dispatchers are assigned without routers", () => {
  const upstreams = members("u", [0, 1]);
  const wanted = assignDispatchers({
    upstreams,
    routers: [],
    current: new Map(),
  });
  assert.equal(wanted.size, 0);
});
