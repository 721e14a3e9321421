/**
 * @param vmListRead - whether the router could read the VM list
 * @returns a line to add to a listing; empty when the list was read
 */
export function noteVmList(vmListRead: boolean): string {
  return vmListRead
    ? ""
    : "\nThe VM list could not be read: only what routers know is shown.";
}
