import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { CatalogueStatus } from "../../src/vms/catalogue_status.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { PeerError } from "../../src/vms/peer_error.ts";

/** Routers that answer `catalogue.changed` and `catalogue.status`. */
export class FakePeers implements PeerClient {
  /**
   * Status of each router, by the URL of its peer listener. Routers without a
   * status are unreachable.
   */
  readonly statuses = new Map<string, CatalogueStatus>();
  readonly calls: { peerUrl: string; method: string; params: unknown }[] = [];

  call<Schema extends z.ZodType>(call: {
    peerUrl: string;
    method: string;
    params: unknown;
    result: Schema;
  }): ResultAsync<z.infer<Schema>, PeerError> {
    const { peerUrl, method, params, result } = call;
    this.calls.push({ peerUrl, method, params });
    const status = this.statuses.get(peerUrl);
    if (status === undefined) {
      return errAsync({ kind: "unreachable", message: "refused" });
    }
    const parsed = result.safeParse(
      method === "catalogue.status" ? status : null,
    );
    return parsed.success
      ? okAsync(parsed.data)
      : errAsync({ kind: "malformed", message: "malformed" });
  }
}
