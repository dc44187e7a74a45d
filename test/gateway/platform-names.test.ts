/** The platform's names are spelled out in `platform/` only, and that folder stays small. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { HEADERS, PATHS, SENT_HEADERS, SETTINGS_VARIABLE } from '../../platform/names.js';

const PROJECT_ROOT = resolve(fileURLToPath(new URL('../../..', import.meta.url)));
const MAX_ADAPTER_LINES = 1_200;
/** Names of web standards, or too common to be searched for. */
const COMMON_NAMES = new Set(['last-event-id', '/ready', '/report', '/order']);
/** Names that also occur in module paths or as plain words; as complete string literals they are the platform's. */
const QUOTED_NAMES = new Set<string>([PATHS.usage, PATHS.scale, HEADERS.resumes]);

function sourcesUnder(folder: string): readonly string[] {
  return readdirSync(join(PROJECT_ROOT, folder), { recursive: true, encoding: 'utf8' })
    .filter((path) => path.endsWith('.ts'))
    .map((path) => join(PROJECT_ROOT, folder, path));
}

test('no source file outside the adapter contains a name of the platform', () => {
  const names = [
    ...Object.values(HEADERS),
    ...Object.values(SENT_HEADERS),
    ...Object.values(PATHS),
    SETTINGS_VARIABLE,
  ]
    .map((name) => (QUOTED_NAMES.has(name) ? `'${name}'` : name.toLowerCase()))
    .filter((name) => !COMMON_NAMES.has(name));
  const leaks: string[] = [];
  for (const path of sourcesUnder('src')) {
    const text = readFileSync(path, 'utf8').toLowerCase();
    for (const name of names) if (text.includes(name)) leaks.push(`${path}: ${name}`);
  }
  assert.deepEqual(leaks, []);
});

test('the adapter is small, and uses neither timers, clocks nor random numbers', () => {
  let lines = 0;
  for (const path of sourcesUnder('platform')) {
    const text = readFileSync(path, 'utf8');
    lines += text.split('\n').length;
    assert.doesNotMatch(
      text,
      /setTimeout|setInterval|Date\.now|performance\.now|Math\.random/,
      path,
    );
  }
  assert.ok(lines <= MAX_ADAPTER_LINES, `${lines} lines`);
});
