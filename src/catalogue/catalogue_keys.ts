// Padding makes the key of one version no prefix of another's, and lets the
// history be read in blocks of ten by prefix.
const VERSION_DIGITS = 10;

/** Keys of the catalogue's rows in the table service. */
export const catalogueKeys = {
  current: "catalogue/current",

  /**
   * @param version - a catalogue version
   * @returns the key of its history row
   */
  history(version: number): string {
    return "catalogue/history/" +
      String(version).padStart(VERSION_DIGITS, "0");
  },

  /**
   * @param version - a catalogue version
   * @returns prefix of the history rows of the ten versions around it, from
   * one that ends in 0 to one that ends in 9
   */
  historyBlock(version: number): string {
    return this.history(version).slice(0, -1);
  },
};
