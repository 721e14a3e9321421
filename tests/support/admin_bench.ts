import { createHash } from "node:crypto";
import { errAsync, okAsync } from "neverthrow";
import { createAdminApp } from "../../src/admin/create_admin_app.ts";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";
import { FakePeers } from "./fake_peers.ts";
import { FakeTableService } from "./fake_table_service.ts";
import { ManualClock } from "./manual_clock.ts";
import { silentLogger } from "./silent_logger.ts";

const CLOCK_STEP_MS = 50;

/** Failure domains with their regions; each has a router and an upstream. */
const DOMAINS = [
  ["sierra", "sierra-a"],
  ["sierra", "sierra-b"],
  ["costa", "costa-a"],
] as const;

/** The administration interface of one router, with fakes around it. */
export class AdminBench {
  readonly table = new FakeTableService();
  readonly peers = new FakePeers();
  readonly clock = new ManualClock();
  readonly catalogue = new CatalogueView();
  readonly assignments = new AssignmentView();
  readonly members = new MemberView();
  readonly logged: Parameters<typeof silentLogger>[0] & object = [];
  /** Undefined while the VM list cannot be read. */
  vms: ListedVm[] | undefined = [];
  mode: StoreMode = "current";

  readonly app = createAdminApp({
    vm: "entry-0",
    region: "sierra",
    operators: [
      { name: "ana", sha256: sha256("ana-secret") },
      { name: "ben", sha256: sha256("ben-secret") },
    ],
    table: this.table,
    vmList: {
      read: () =>
        this.vms === undefined
          ? errAsync({ kind: "unavailable", message: "down" })
          : okAsync(this.vms),
    },
    peers: this.peers,
    catalogue: this.catalogue,
    assignments: this.assignments,
    members: this.members,
    contact: { mode: () => this.mode, changed: new ChangeNotifier() },
    clock: this.clock,
    logger: silentLogger(this.logged),
    signal: new AbortController().signal,
  });

  constructor() {
    for (const [position, [region, failureDomain]] of DOMAINS.entries()) {
      const vm = `entry-${position}`;
      const peerUrl = `http://10.0.0.${position}:8081`;
      const member = {
        schema: 1 as const,
        vm,
        incarnation: "1",
        region,
        failureDomain,
        peerUrl,
        witnesses: [],
      };
      this.table.put(`members/${vm}`, member);
      this.members.set(vm, member);
      this.setVersion(vm, 1000);
      this.vms?.push({
        id: `up-${position}`,
        kind: "upstream",
        address: `10.0.1.${position}:80`,
        service: "bookings",
        region,
        failureDomain,
        state: "live",
      });
    }
  }

  /**
   * @param vm - a router
   * @param version - version that it reports as in force from now on
   */
  setVersion(vm: string, version: number): void {
    const peerUrl = this.members.get(vm)?.peerUrl ?? "";
    this.peers.statuses.set(
      peerUrl,
      { vm, incarnation: "1", version, mode: "current" },
    );
  }

  /**
   * Sends a request and advances the clock until the answer is complete.
   *
   * @param route - method and path, e.g. `GET /v1/vms`
   * @param options - `body` is sent as JSON, or as it is if it is a string;
   * `credential` is that of the operator ana by default, null for none
   * @returns the status, and the lines of the answer parsed as JSON
   */
  async send(
    route: string,
    options: { body?: unknown; credential?: string | null } = {},
  ): Promise<{ status: number; lines: Record<string, unknown>[] }> {
    const [method = "", path = ""] = route.split(" ");
    const { body, credential = "ana-secret" } = options;
    const answer = (async () => {
      const res = await this.app.request(path, {
        method,
        headers: credential === null
          ? {}
          : { authorization: `Bearer ${credential}` },
        ...(body === undefined ? {} : {
          body: typeof body === "string" ? body : JSON.stringify(body),
        }),
      });
      const text = await res.text();
      return {
        status: res.status,
        lines: text.split("\n").filter((line) => line !== "")
          .map((line) => JSON.parse(line) as Record<string, unknown>),
      };
    })();
    const progress = { settled: false };
    void answer.finally(() => progress.settled = true);
    while (!progress.settled) await this.clock.advance(CLOCK_STEP_MS);
    return await answer;
  }
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
