// With padding, no version's key is a prefix of another version's key, and the
// history can be read by prefix in blocks of ten versions.
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
   * @returns key prefix of the ten history rows whose versions differ from this
   * one at most in the last digit
   */
  historyBlock(version: number): string {
    return this.history(version).slice(0, -1);
  },
};
