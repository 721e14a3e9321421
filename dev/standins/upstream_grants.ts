import type { Grant } from "../../src/contracts/grant.ts";
import type { GrantState } from "../../src/contracts/grant_state.ts";
import type { UpstreamJournal } from "./upstream_journal.ts";

/** The fenced grant that an upstream stand-in holds. */
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
   * @param journal - told of each accepted grant
   */
  constructor(private readonly journal: UpstreamJournal) {}

  /**
   * @returns the present grant and clock reading
   */
  state(): GrantState {
    return {
      ...this.#grant,
      seq: Math.max(0, this.#grant.seq),
      now: performance.now(),
    };
  }

  /**
   * @param grant - replaces the present one if it is newer
   * @returns whether it was newer
   */
  put(grant: Grant): boolean {
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
   * @param unit - unit that a request names
   * @param epoch - epoch that a request names
   * @returns whether the upstream may serve it now
   */
  allows(unit: string, epoch: number): boolean {
    return this.#grant.epoch === epoch && this.#units.has(unit) &&
      performance.now() < this.#grant.expiresAt;
  }
}
