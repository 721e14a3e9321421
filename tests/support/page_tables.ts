import { readFileSync } from "node:fs";

/** Reads the sections and tables of a page of docs/. */
export class PageTables {
  readonly #text: string;

  /**
   * @param name - name of a file in docs/
   */
  constructor(name: string) {
    this.#text = readFileSync(
      new URL(`../../docs/${name}`, import.meta.url),
      "utf8",
    );
  }

  /**
   * Returns the text from a heading of level 2 to the next one.
   *
   * @throws Error if the page has no such heading
   */
  section(heading: string): string {
    const start = this.#text.indexOf(`\n## ${heading}\n`);
    if (start === -1) throw new Error(`no section "${heading}"`);
    const end = this.#text.indexOf("\n## ", start + 1);
    return this.#text.slice(start, end === -1 ? undefined : end);
  }

  /**
   * Reads the first table of a section.
   *
   * @returns the cells of each row by its first cell, without backquotes
   * @throws Error if two rows have the same first cell
   */
  firstTable(heading: string): Map<string, string[]> {
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
