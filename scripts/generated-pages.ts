/**
 * Generates the sections of the documentation that are derived from the code.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { CATALOGUE, type CatalogueArea } from '../src/core/logging/catalogue/index.js';
import { settingsKeys } from '../src/shell/settings/index.js';
import { markdownTable } from './markdown-table.js';

/** A page with its expected content. */
export interface GeneratedPage {
  /** Path relative to the project root. */
  readonly path: string;
  readonly content: string;
}

const SETTINGS_BEGIN = '<!-- generated: settings (npm run docs) -->';
const SETTINGS_END = '<!-- end of generated settings -->';

/** All pages with generated sections, with their expected content. */
export function generatedPages(root: string): readonly GeneratedPage[] {
  return [
    { path: 'docs/EVENTS.md', content: eventsPage(CATALOGUE) },
    { path: 'docs/OPERATING.md', content: operatingPage(root) },
  ];
}

/** The page of log events. */
function eventsPage(catalogue: readonly CatalogueArea[]): string {
  const intro = [
    '# Log events',
    '',
    'Generated from `src/core/logging/catalogue/` by `npm run docs`; change the catalogue, not this page.',
    '',
    'A daemon writes its log to standard error, one JSON object a line: `level`, `time` (milliseconds',
    'since 1970), `writer` (the daemon that writes, and its zone), `event` (the number below), `msg`, and',
    'fields of its own. Prompts, keys and tokens are never written. Numbers are never reused.',
  ];
  return `${[...intro, ...catalogue.flatMap(areaSection)].join('\n')}\n`;
}

function areaSection(area: CatalogueArea): readonly string[] {
  const rows = Object.values(area.events)
    .toSorted((left, right) => left.number - right.number)
    .map((event) => [String(event.number), event.level, event.message, event.remedy]);
  const table = markdownTable(['event', 'level', 'message', 'what it means, what to do'], rows);
  return ['', `## ${area.title}`, '', table];
}

function operatingPage(root: string): string {
  const page = readFileSync(join(root, 'docs/OPERATING.md'), 'utf8');
  const begin = page.indexOf(SETTINGS_BEGIN);
  const end = page.indexOf(SETTINGS_END);
  if (begin < 0 || end < begin) throw new Error('docs/OPERATING.md lacks its settings markers');
  const head = page.slice(0, begin + SETTINGS_BEGIN.length);
  return `${head}\n\n${settingsTable()}\n\n${page.slice(end)}`;
}

function settingsTable(): string {
  const rows = settingsKeys().map((key) => [
    `\`${key.key}\``,
    key.isRequired ? 'required' : codeOrNothing(key.defaultValue),
    key.description,
  ]);
  return markdownTable(['key', 'default', 'meaning'], rows);
}

function codeOrNothing(text: string | null): string {
  return text === null ? '' : `\`${text}\``;
}
