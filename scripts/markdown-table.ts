/**
 * Formats Markdown tables with padded columns.
 */

/** Formats a table with the given header and rows. */
export function markdownTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const escaped = [head, ...rows].map((row) => row.map((cell) => cell.replaceAll('|', '\\|')));
  const widths = head.map((_, column) =>
    Math.max(...escaped.map((row) => (row[column] ?? '').length)),
  );
  const [headLine = '', ...lines] = escaped.map((row) => tableLine(row, widths));
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [headLine, rule, ...lines].join('\n');
}

function tableLine(row: readonly string[], widths: readonly number[]): string {
  const cells = widths.map((width, column) => (row[column] ?? '').padEnd(width));
  return `| ${cells.join(' | ')} |`;
}
