/**
 * Formats the note that a listing lacks the VMs of the VM list.
 *
 * @param vmListRead - whether the router could read the VM list
 * @returns a line to append to the listing; empty if the list was read
 */
export function formatVmListNote(vmListRead: boolean): string {
  return vmListRead
    ? ""
    : "\nThe VM list could not be read: only what routers know is shown.";
}
