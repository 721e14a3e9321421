import { readFileSync } from "node:fs";

/** A page of docs/, by sections and table rows. */
export class PageTables {
  readonly #text: string;

  /**
   * @param name - file name in docs/
   */
  constructor(name: string) {
    this.#text = readFileSync(
      new URL(`../../docs/${name}`, import.meta.url),
      "utf8",
    );
  }

  /** The text below a heading of level 2, up to the next one. */
  section(heading: string): string {
    const start = this.#text.indexOf(`\n## ${heading}\n`);
    if (start === -1) throw new Error(`no section "${heading}"`);
    const end = this.#text.indexOf("\n## ", start + 1);
    return this.#text.slice(start, end === -1 ? undefined : end);
  }

  /**
   * @returns the cells of the section's first table by the first column,
   * without backquotes; a name that is listed twice is an error
   */
  rows(heading: string): Map<string, string[]> {
    const lines = this.section(heading).split("\n");
    const first = lines.findIndex((line) => line.startsWith("| ---"));
    const rows = new Map<string, string[]>();
    for (const line of lines.slice(first + 1)) {
      if (!line.startsWith("|")) break;
      const [name = "", ...cells] = line.split("|").slice(1, -1)
        .map((cell) => cell.trim().replace(/^`(.*)`$/, "$1"));
      if (rows.has(name)) throw new Error(`"${name}" is listed twice`);
      rows.set(name, cells);
    }
    return rows;
  }
}
