import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { request } from "undici";
import { control } from "../../dev/deployment/control.ts";
import { Deployment } from "../../dev/deployment/deployment.ts";
import type { Preset } from "../../dev/deployment/preset.ts";
import { longTimeoutCatalogue } from "../support/long_timeout_catalogue.ts";
import { SMALL_PRESET } from "../support/small_preset.ts";

const PRESET: Preset = {
  ...SMALL_PRESET,
  regions: ["sierra", "costa"],
  domainsPerRegion: 1,
  routersPerDomain: 1,
  services: SMALL_PRESET.services.map((service) => ({
    ...service,
    upstreamsPerDomain: 1,
  })),
};

test("no data of a request leaves its home regions", async (t) => {
  // Guards against a request that is served, sent, logged or stored outside the
  // home regions of its entry.
  const catalogue = longTimeoutCatalogue(PRESET);
  for (const entry of Object.values(catalogue.entries)) {
    entry.homeRegions = ["sierra"];
  }
  const deployment = await Deployment.start({
    preset: PRESET,
    catalogue,
    settings: { log: { level: "debug" } },
  });
  t.after(() => deployment.stop());
  const { routers, platformUrl, dir } = deployment;
  const send = async (region: string) => {
    const router = routers.find((candidate) => candidate.region === region);
    const res = await request(
      `${router?.callersUrl}/bookings/secret-path?q=secret-query`,
      {
        method: "POST",
        headers: { "x-test-key": "secret-key" },
        body: "secret-body",
      },
    );
    return { status: res.statusCode, text: await res.body.text() };
  };

  assert.equal((await send("sierra")).status, 200);
  const refused = await send("costa");
  assert.equal(refused.status, 421);
  const { code, outcome, data } = JSON.parse(refused.text) as Record<
    string,
    unknown
  >;
  assert.deepEqual({ code, outcome, data }, {
    code: "wrong_region",
    outcome: "not_run",
    data: { homeRegions: ["sierra"] },
  });

  const costa = routers.find(({ region }) => region === "costa");
  const places = {
    answer: refused.text,
    log: readFileSync(join(dir, `${costa?.vm}.log`), "utf8"),
    rows: JSON.stringify(
      await control(`${platformUrl}/v1/rows?prefix=&since=0`),
    ),
    upstreams: JSON.stringify(
      await Promise.all(
        deployment.upstreams.filter(({ region }) => region === "costa")
          .map(({ address }) => control(`http://${address}/control/journal`)),
      ),
    ),
  };
  assert.match(places.log, /router started/);
  for (const [place, text] of Object.entries(places)) {
    assert.doesNotMatch(text, /secret/, place);
  }
});
