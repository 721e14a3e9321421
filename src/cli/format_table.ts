type Cell = string | number | boolean | null;

/**
 * Formats a table.
 *
 * @param header - headings of the columns
 * @param rows - cells; null, false and empty texts are shown as a dash, true as
 * `yes`
 * @returns lines with aligned columns
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const formatCell = (cell: Cell) => {
    if (cell === null || cell === "" || cell === false) return "-";
    return cell === true ? "yes" : String(cell);
  };
  const lines = [header, ...rows.map((row) => row.map(formatCell))];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0))
  );
  return lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n");
}
