import { HttpUpstreamGrants } from "../contracts/http_upstream_grants.ts";
import { HttpTableService } from "../contracts/http_table_service.ts";
import { HttpUpstreamReports } from "../contracts/http_upstream_reports.ts";
import { HttpVmList } from "../contracts/http_vm_list.ts";
import type { Settings } from "../settings/settings.ts";

/**
 * HTTP clients of the systems around the router: table service, VM list, and
 * the reports and grants of upstreams.
 */
export class PlatformContracts {
  readonly table: HttpTableService;
  readonly vmList: HttpVmList;
  readonly reports = new HttpUpstreamReports();
  readonly grants = new HttpUpstreamGrants();

  /**
   * @param cfg - URLs of the platform's services
   */
  constructor(cfg: Settings["platform"]) {
    this.table = new HttpTableService(cfg.tableService);
    this.vmList = new HttpVmList(cfg.vmList);
  }

  /** Closes all connections once the calls in flight have ended. */
  async close(): Promise<void> {
    await Promise.all([
      this.table.close(),
      this.vmList.close(),
      this.reports.close(),
      this.grants.close(),
    ]);
  }
}
