/**
 * A YAML document with the line number of each key, so that a problem can be reported with its line.
 */
import { err, ok, type Result } from 'neverthrow';
import { type Document, isMap, isNode, isPair, isScalar, LineCounter, parseDocument } from 'yaml';
import type { SettingsProblem } from './problem.js';

/** A parsed YAML text. */
export interface SettingsDocument {
  readonly content: unknown;
  /** The line of the value at a path, or of its nearest enclosing mapping. */
  lineOf(path: readonly PropertyKey[]): number;
  /** The line of a key within the mapping at a path. */
  lineOfKey(path: readonly PropertyKey[], key: string): number;
}

/** Parses YAML; each syntax error, including a duplicate key, is a separate problem. */
export function parseSettingsDocument(
  file: string,
  text: string,
): Result<SettingsDocument, SettingsProblem[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  const faults = [...document.errors, ...document.warnings];
  if (faults.length > 0) {
    return err(
      faults.map((fault) => ({
        source: file,
        line: lines.linePos(fault.pos[0]).line,
        key: '',
        found: `YAML that can't be read (${fault.message})`,
        remedy: 'correct the YAML; quote values that hold brackets or colons',
      })),
    );
  }
  return ok(documentWithLines(document, lines));
}

function documentWithLines(document: Document.Parsed, lines: LineCounter): SettingsDocument {
  const lineAt = (offset: number | undefined): number =>
    offset === undefined ? 1 : lines.linePos(offset).line;
  return {
    content: document.toJS(),
    lineOf: (path) => lineAt(offsetOf(document, path)),
    lineOfKey: (path, key) => lineAt(offsetOfKey(document, path, key)),
  };
}

function nodeAt(document: Document.Parsed, path: readonly PropertyKey[]): unknown {
  return path.length === 0 ? document.contents : document.getIn(path, true);
}

function offsetOf(document: Document.Parsed, path: readonly PropertyKey[]): number | undefined {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = nodeAt(document, path.slice(0, length));
    if (isNode(node) && node.range) return node.range[0];
  }
  return undefined;
}

function offsetOfKey(
  document: Document.Parsed,
  path: readonly PropertyKey[],
  key: string,
): number | undefined {
  const node = nodeAt(document, path);
  if (!isMap(node)) return offsetOf(document, path);
  const pair = node.items.find(
    (item) => isPair(item) && isScalar(item.key) && item.key.value === key,
  );
  return isScalar(pair?.key) ? pair.key.range?.[0] : offsetOf(document, path);
}
