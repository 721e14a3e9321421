import { request } from "undici";
import { systemClock } from "../../src/base/system_clock.ts";
import { Deployment } from "../deployment/deployment.ts";
import { PRESETS } from "../deployment/presets.ts";

const SAMPLE_KEYS = ["crusher-1", "crusher-2", "crusher-3", "crusher-4"];

async function showRequests(deployment: Deployment): Promise<void> {
  for (const router of deployment.routers) {
    for (const key of SAMPLE_KEYS) {
      const res = await request(`${router.callersUrl}/bookings/book`, {
        method: "POST",
        headers: { "x-test-key": key },
        body: `book ${key}`,
      });
      const body = await res.body.text();
      const servedBy = String(res.headers["x-served-by"] ?? "-");
      console.log(
        `${router.vm}  key ${key} -> ${servedBy}  ${res.statusCode} ${body}`,
      );
    }
  }
}

function showNextSteps(deployment: Deployment): void {
  const [first] = deployment.routers;
  if (first === undefined) return;
  const client = `node dist/fescuerun.cjs`;
  const access = `--admin ${first.adminUrl} ` +
    `--credential-file ${deployment.credentialFile}`;
  console.log(`
Send a request:
  curl -i -H 'x-test-key: crusher-1' -d 'book' ${first.callersUrl}/bookings/book

Look and change as an operator:
  ${client} status ${access}
  ${client} upstream list ${access}
  ${client} assignment show crusher-1 --service bookings ${access}
  ${client} domain out sierra-b ${access}
  ${client} domain in sierra-b ${access}
  ${client} audit ${access}

Logs are in ${deployment.dir}. Ctrl-C ends the demo.`);
}

async function main(): Promise<void> {
  const stop = new AbortController();
  for (const name of ["SIGINT", "SIGTERM"] as const) {
    process.on(name, () => stop.abort());
  }
  console.log("starting the platform stand-in, upstreams and routers");
  const deployment = await Deployment.start({ preset: PRESETS.demo });
  await showRequests(deployment);
  showNextSteps(deployment);
  const MAX_DEMO_MS = 86_400_000;
  await systemClock.sleep(MAX_DEMO_MS, stop.signal);
  await deployment.stop();
}

void main();
