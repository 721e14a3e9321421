import type { CatalogueEditor } from "../catalogue/catalogue_editor.ts";
import type { CatalogueMembers } from "../catalogue/catalogue_members.ts";
import type { AdminDeps } from "./admin_deps.ts";
import type { AuditTrail } from "./audit_trail.ts";

/** Dependencies that the routes share. */
export type AdminContext = AdminDeps & {
  editor: CatalogueEditor;
  /** Routers that have to put a catalogue version in force. */
  catalogueMembers: CatalogueMembers;
  audit: AuditTrail;
};
