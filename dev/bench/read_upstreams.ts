import { control } from "../deployment/control.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { UpstreamJournal } from "../standins/upstream_journal.ts";

type UpstreamRecord = { id: string; service: string; journal: UpstreamJournal };

/**
 * Reads the journals of all running upstreams.
 *
 * @param deployment - the running deployment
 * @returns their journals; the journal of a killed upstream is lost
 */
export async function readUpstreams(
  deployment: Deployment,
): Promise<UpstreamRecord[]> {
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
