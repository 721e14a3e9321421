import type { ResultAsync } from "neverthrow";
import type { Grant } from "./grant.ts";
import type { GrantState } from "./grant_state.ts";

type GrantError =
  /** The upstream holds a grant with a greater or equal epoch and sequence. */
  | { kind: "superseded"; state: GrantState }
  | { kind: "unavailable"; message: string };

/** Reads and writes the fenced grants that upstreams hold. */
export interface UpstreamGrants {
  /**
   * @param address - `ip:port` of the upstream
   * @param signal - cancels the call
   * @returns the upstream's clock reading and its current grant
   */
  read(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<GrantState, GrantError>;

  /**
   * @param address - `ip:port` of the upstream
   * @param grant - replaces the whole current grant
   * @param signal - cancels the call; the grant may then have been accepted
   * @returns the state after the change
   */
  put(
    address: string,
    grant: Grant,
    signal: AbortSignal,
  ): ResultAsync<GrantState, GrantError>;
}
