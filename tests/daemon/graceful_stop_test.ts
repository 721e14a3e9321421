import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { Deployment } from "../../dev/deployment/deployment.ts";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { longTimeoutCatalogue } from "../support/long_timeout_catalogue.ts";
import { readDispatchers } from "../support/read_dispatchers.ts";
import { SMALL_PRESET } from "../support/small_preset.ts";
import { SteadyCallers } from "../support/steady_callers.ts";

const TIMEOUT_MS = 60_000;

test("SIGTERM of a router under load fails no request", async (t) => {
  // Guards against a graceful stop that aborts requests in flight, closes the
  // listener before callers have switched to other routers, or leaves upstreams
  // without a dispatcher.
  const deployment = await Deployment.start({
    preset: SMALL_PRESET,
    catalogue: longTimeoutCatalogue(SMALL_PRESET),
    settings: {
      requests: { holdMs: TIMEOUT_MS },
      // Longer than the poll below takes on a slow computer to notice that the
      // router is no longer ready.
      timing: { readinessDelayMs: 5000 },
    },
  });
  t.after(() => deployment.stop());
  const { routers, platformUrl } = deployment;
  const callers = new SteadyCallers({
    urls: routers.map(({ callersUrl }) => callersUrl),
    entries: ["bookings", "bookings-once"],
    callers: 16,
  });
  t.after(() => callers.stop());
  await waitUntil(
    "answers",
    TIMEOUT_MS,
    () => Promise.resolve(callers.results.length > 100),
  );
  const dispatchers = await readDispatchers(platformUrl);
  const leaving = routers.find(({ vm }) =>
    Object.values(dispatchers).includes(vm)
  );
  assert.ok(leaving);

  leaving.process.signal("SIGTERM");
  await waitUntil("end of readiness", TIMEOUT_MS, async () => {
    const res = await request(`${leaving.callersUrl}/-/ready`);
    await res.body.dump();
    return res.statusCode === 503;
  });
  callers.urls.delete(leaving.callersUrl);
  assert.equal(await leaving.process.ended(), 0);

  const after = Object.entries(await readDispatchers(platformUrl));
  assert.deepEqual(after.map(([id]) => id), Object.keys(dispatchers));
  assert.deepEqual(after.filter(([, vm]) => vm === leaving.vm), []);
  const from = callers.results.length;
  await waitUntil("answers of all upstreams", TIMEOUT_MS, () => {
    const served = callers.results.slice(from).map((result) => result.servedBy);
    return Promise.resolve(after.every(([id]) => served.includes(id)));
  });
  await callers.stop();
  assert.deepEqual(
    callers.results.filter(({ status, mismatched }) =>
      status !== 200 || mismatched
    ),
    [],
  );
});
