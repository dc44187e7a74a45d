/** Plain text output: tables, and untrusted text made safe for a terminal. */
import type { FieldValue, Row } from '../core/language/index.js';

const COLUMN_GAP = '  ';
const BOLD = '\u001b[1m';
const RESET = '\u001b[0m';

/** Replaces control characters, so that untrusted text can't send escape sequences to the terminal. */
export function printable(text: string): string {
  return text.replace(/\p{Cc}/gu, '?');
}

/** Formats rows in columns under a heading. A table without rows consists of the heading only. */
export function formatTable(
  fields: readonly string[],
  rows: readonly Row[],
  colored: boolean,
): string {
  if (fields.length === 0) {
    return '(none)\n';
  }
  const cells = rows.map((row) => fields.map((field) => formatValue(row[field] ?? null)));
  const widths = fields.map((field, column) =>
    Math.max(field.length, ...cells.map((line) => (line[column] ?? '').length)),
  );
  const heading = formatLine(fields, widths);
  const lines = [
    colored ? `${BOLD}${heading}${RESET}` : heading,
    ...cells.map((line) => formatLine(line, widths)),
  ];
  return `${lines.join('\n')}\n`;
}

/** The fields of all rows, in the order of their first appearance. */
export function fieldsOf(rows: readonly Row[]): readonly string[] {
  return [...new Set(rows.flatMap((row) => Object.keys(row)))];
}

function formatLine(cells: readonly string[], widths: readonly number[]): string {
  return cells
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(COLUMN_GAP)
    .trimEnd();
}

function formatValue(value: FieldValue): string {
  if (value === null) {
    return '-';
  }
  const text = Array.isArray(value) ? value.join(',') : String(value);
  return text === '' ? '-' : printable(text);
}
