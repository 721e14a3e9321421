import type { Grant } from "../../src/contracts/grant.ts";
import type { GrantState } from "../../src/contracts/grant_state.ts";
import type { UpstreamJournal } from "./upstream_journal.ts";

/** Grant of an upstream stand-in, fenced by epoch and sequence number. */
export class UpstreamGrants {
  #grant: Grant = {
    epoch: 0,
    seq: -1,
    dispatcher: "",
    units: [],
    expiresAt: 0,
  };
  #units = new Set<string>();

  /**
   * @param journal - records each accepted grant
   */
  constructor(private readonly journal: UpstreamJournal) {}

  /**
   * @returns the current grant, and the current time of the clock that
   * `expiresAt` refers to
   */
  state(): GrantState {
    return {
      ...this.#grant,
      seq: Math.max(0, this.#grant.seq),
      now: performance.now(),
    };
  }

  /**
   * Replaces the current grant if the given one is newer.
   *
   * @param grant - grant with an epoch and sequence number
   * @returns whether it was newer
   */
  replaceIfNewer(grant: Grant): boolean {
    const { epoch, seq } = this.#grant;
    if (grant.epoch < epoch || (grant.epoch === epoch && grant.seq <= seq)) {
      return false;
    }
    this.#grant = grant;
    this.#units = new Set(grant.units);
    this.journal.recordGrant(
      grant.units,
      Math.max(0, grant.expiresAt - performance.now()),
    );
    return true;
  }

  /**
   * @param unit - unit in the headers of a request
   * @param epoch - epoch in the headers of a request
   * @returns whether the grant allows the upstream to serve the request now
   */
  allows(unit: string, epoch: number): boolean {
    return this.#grant.epoch === epoch && this.#units.has(unit) &&
      performance.now() < this.#grant.expiresAt;
  }
}
