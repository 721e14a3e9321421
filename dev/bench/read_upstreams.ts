import { control } from "../deployment/control.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { UpstreamJournal } from "../standins/upstream_journal.ts";

type Read = { id: string; service: string; journal: UpstreamJournal };

/**
 * Reads the journals of all upstreams that run.
 *
 * @param deployment - the running deployment
 * @returns journals; an upstream that was killed took its journal with it
 */
export async function readUpstreams(deployment: Deployment): Promise<Read[]> {
  const running = deployment.upstreams.filter(({ process }) =>
    process.pid !== undefined
  );
  return Promise.all(running.map(async ({ id, service, address }) => ({
    id,
    service,
    journal: await control(
      `http://${address}/control/journal`,
    ) as UpstreamJournal,
  })));
}
