import { CatalogueView } from "../catalogue/catalogue_view.ts";
import { AssignmentView } from "../shards/assignment_view.ts";
import { CoordinatorView } from "../vms/coordinator_view.ts";
import { MemberView } from "../vms/member_view.ts";

/** The rows of the table service, as far as they are known to this router. */
export class Views {
  readonly catalogue = new CatalogueView();
  readonly members = new MemberView();
  readonly coordinators = new CoordinatorView();
  readonly assignments = new AssignmentView();
}
