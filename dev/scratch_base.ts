import { BaselineRouter } from "./bench/baseline_router.ts";
import { UpstreamStandin } from "./standins/upstream_standin.ts";
import { LoadGenerator } from "./bench/load_generator.ts";
import { percentile } from "./bench/percentile.ts";
import { systemClock } from "../src/base/system_clock.ts";
import { fork } from "node:child_process";
import { cpuSeconds } from "./bench/cpu_seconds.ts";
if (process.argv[2] === "up") {
  const u = new UpstreamStandin({
    id: "u",
    service: "s",
    checksGrants: false,
    slots: 100,
    serviceMs: 1,
  });
  process.send!(await u.start());
} else if (process.argv[2] === "router") {
  const r = new BaselineRouter([process.argv[3]!]);
  process.send!(await r.start());
} else {
  const run = (...a: string[]) =>
    new Promise<[ReturnType<typeof fork>, string]>((res) => {
      const c = fork(import.meta.filename, a, {
        execArgv: ["--import", "tsx"],
      });
      c.once("message", (m) => res([c, m as string]));
    });
  const [u, addr] = await run("up");
  const [r, url] = await run("router", addr);
  for (const rate of [500, 500, 1000, 2000]) {
    const load = new LoadGenerator({
      urls: [url],
      entries: ["usage"],
      keys: Array.from({ length: 5000 }, (_, i) => `key-${i}`),
      ratePerS: rate,
      seed: 1,
    });
    const c0 = cpuSeconds(r.pid!);
    load.start();
    await systemClock.sleep(4000);
    const res = await load.stop();
    const c1 = cpuSeconds(r.pid!);
    const l = res.map((x) => x.endedAt - x.startedAt - x.serviceMs);
    console.log(
      rate,
      res.length,
      "ok",
      res.filter((x) => x.status === 200).length,
      "cpu ms/req",
      ((c1 - c0) * 1000 / res.length).toFixed(2),
      "p50",
      percentile(l, 0.5).toFixed(1),
      "p99",
      percentile(l, 0.99).toFixed(1),
    );
  }
  u.kill();
  r.kill();
}
