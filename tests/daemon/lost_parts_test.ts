import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { countViolations } from "../../dev/bench/violations.ts";
import { control } from "../../dev/deployment/control.ts";
import { Deployment } from "../../dev/deployment/deployment.ts";
import type { Preset } from "../../dev/deployment/preset.ts";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { longTimeoutCatalogue } from "../support/long_timeout_catalogue.ts";
import { readDispatchers } from "../support/read_dispatchers.ts";
import { SMALL_PRESET } from "../support/small_preset.ts";
import { SteadyCallers } from "../support/steady_callers.ts";

const TIMEOUT_MS = 60_000;
// Many slots, so that many requests are in flight when the router is killed and
// their answers are lost.
const PRESET: Preset = {
  ...SMALL_PRESET,
  services: SMALL_PRESET.services.map((service) => ({ ...service, slots: 8 })),
};
const KEYS = Array.from({ length: 97 }, (_, index) => `key-${index}`);

test("SIGKILL of a router and an upstream runs nothing twice", async (t) => {
  // Guards against a request that is sent again although it may have run, a
  // refusal `not_run` of a request that ran, and keys that stay without an
  // owner.
  const deployment = await Deployment.start({
    preset: PRESET,
    catalogue: longTimeoutCatalogue(PRESET),
    upstream: { printEffects: true, serviceMs: 20 },
  });
  t.after(() => deployment.stop());
  const { routers, upstreams, platformUrl, dir } = deployment;
  const effectsOf = (id: string) =>
    readFileSync(join(dir, `${id}.log`), "utf8").split("\n")
      .filter((line) => line.startsWith("effect "))
      .map((line) => line.slice("effect ".length));
  const callers = new SteadyCallers({
    urls: routers.map(({ callersUrl }) => callersUrl),
    entries: ["bookings-once"],
    // More callers than slots, so that each upstream has requests in flight.
    callers: 48,
  });
  t.after(() => callers.stop());
  const moreResultsThan = (count: number) => () =>
    Promise.resolve(callers.results.length > count);
  await waitUntil("answers", TIMEOUT_MS, moreResultsThan(1000));

  // The router is paused before it is killed, so that its upstream completes
  // requests whose answers the router never receives.
  const [busyUpstreamId, vm] =
    Object.entries(await readDispatchers(platformUrl))[0] ??
      [];
  const router = routers.find((candidate) => candidate.vm === vm);
  assert.ok(router !== undefined && busyUpstreamId !== undefined);
  const busyUpstream = upstreams.find(({ id }) => id === busyUpstreamId);
  await waitUntil("effects without answers", TIMEOUT_MS, async () => {
    router.process.signal("SIGSTOP");
    const before = effectsOf(busyUpstreamId).length;
    const ran = () => effectsOf(busyUpstreamId).length > before;
    await waitUntil("effects or an idle upstream", TIMEOUT_MS, async () => {
      const { load } = await control(
        `http://${busyUpstream?.address}/load`,
      ) as { load: number };
      return load === 0 || ran();
    });
    if (ran()) return true;
    // No request was in flight at the upstream when the pause took effect.
    router.process.signal("SIGCONT");
    const answered = callers.results.length;
    await waitUntil(
      "more answers",
      TIMEOUT_MS,
      moreResultsThan(answered + 100),
    );
    return false;
  });
  router.process.signal("SIGKILL");
  callers.urls.delete(router.callersUrl);
  const killedUpstream = upstreams.find(({ id }) => id !== busyUpstreamId);
  killedUpstream?.process.signal("SIGKILL");

  await waitUntil(
    "more answers",
    TIMEOUT_MS,
    moreResultsThan(
      callers.results.length + 100,
    ),
  );
  await callers.stop();
  await Promise.all(
    KEYS.map((key) =>
      waitUntil(
        `an answer for ${key}`,
        TIMEOUT_MS,
        async () => (await callers.send(key)).status === 200,
      )
    ),
  );
  const { results } = callers;
  const effects = upstreams.flatMap(({ id }) => effectsOf(id));
  const { runTwice, falseNotRun, lostEffects, foreignAnswers } =
    countViolations({
      results,
      upstreams: [{
        id: "all",
        service: "bookings",
        journal: {
          effects: effects.map((id) => ({ id, key: "", unit: "", at: 0 })),
          holds: [],
          coldOverloads: 0,
        },
      }],
    });
  assert.deepEqual(
    { runTwice, falseNotRun, lostEffects, foreignAnswers },
    { runTwice: 0, falseNotRun: 0, lostEffects: 0, foreignAnswers: 0 },
  );
  const unanswered = results.filter(({ status, outcome }) =>
    status === 0 || outcome === "outcome_unknown"
  );
  assert.ok(
    unanswered.some(({ id }) => effects.includes(id)),
    "no request lost its answer after it ran, so the test proves nothing",
  );
});
