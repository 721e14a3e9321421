import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { AcceptanceMember } from "../../src/catalogue/acceptance_member.ts";
import type { CatalogueMembers } from "../../src/catalogue/catalogue_members.ts";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { CatalogueStatus } from "../../src/vms/catalogue_status.ts";

type FakeMember = {
  /** Version in force; undefined if no status call is answered. */
  version: number | undefined;
  mode?: CatalogueStatus["mode"];
  witnesses?: string[];
  /** Incarnation of every witness in the member's row; "1" by default. */
  witnessIncarnation?: string;
  /** Whether the row cannot be parsed. */
  unreadable?: boolean;
};

/** Catalogue members whose state is set by the test. */
export class FakeCatalogueMembers implements CatalogueMembers {
  readonly members = new Map<string, FakeMember>();
  readonly notified: string[] = [];
  /** While true, `list` fails as `unavailable`. */
  down = false;

  list(): ResultAsync<AcceptanceMember[], TableError> {
    if (this.down) return errAsync({ kind: "unavailable", message: "down" });
    return okAsync(
      [...this.members].map(([vm, member]) => ({
        vm,
        reachable: member.unreadable === true ? undefined : {
          peerUrl: vm,
          incarnation: "1",
          witnesses: member.witnesses ?? [],
          witnessIncarnations: Object.fromEntries(
            (member.witnesses ?? []).map((witness) => [
              witness,
              member.witnessIncarnation ?? "1",
            ]),
          ),
        },
      })),
    );
  }

  notify(peerUrl: string): Promise<void> {
    this.notified.push(peerUrl);
    return Promise.resolve();
  }

  status(peerUrl: string): Promise<CatalogueStatus | undefined> {
    const member = this.members.get(peerUrl);
    const version = member?.version;
    return Promise.resolve(
      member === undefined || version === undefined ? undefined : {
        vm: peerUrl,
        incarnation: "1",
        version,
        mode: member.mode ?? "current",
      },
    );
  }
}
