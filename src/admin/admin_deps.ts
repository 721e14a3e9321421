import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import type { TableService } from "../contracts/table_service.ts";
import type { VmList } from "../contracts/vm_list.ts";
import type { Settings } from "../settings/settings.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { MemberView } from "../vms/member_view.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { StoreContactView } from "../vms/store_contact_view.ts";

/** Dependencies of the administration interface of a router. */
export type AdminDeps = {
  /** Name of this router's VM. */
  vm: string;
  /** Region of this router. */
  region: string;
  operators: Settings["admin"]["operators"];
  table: TableService;
  vmList: VmList;
  peers: PeerClient;
  catalogue: CatalogueView;
  assignments: AssignmentView;
  members: MemberView;
  contact: StoreContactView;
  clock: Clock;
  logger: Logger;
  /** Aborts when the router stops. */
  signal: AbortSignal;
};
