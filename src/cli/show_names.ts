const MAX_SHOWN = 20;

/**
 * @param names - names of VMs
 * @returns the names in one line, of many the first twenty
 */
export function showNames(names: readonly string[]): string {
  const more = names.length - MAX_SHOWN;
  return names.slice(0, MAX_SHOWN).join(" ") +
    (more > 0 ? ` and ${more} more` : "");
}
