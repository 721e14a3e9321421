const MAX_SHOWN_NAMES = 20;

/**
 * Formats names of VMs for one line of output.
 *
 * @param names - names of VMs
 * @returns the first 20 names, and how many more there are
 */
export function showNames(names: readonly string[]): string {
  const more = names.length - MAX_SHOWN_NAMES;
  return names.slice(0, MAX_SHOWN_NAMES).join(" ") +
    (more > 0 ? ` and ${more} more` : "");
}
