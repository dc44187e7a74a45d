import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

function pages(): readonly string[] {
  const inDocs = readdirSync(join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' });
  const atRoot = readdirSync(ROOT);
  return [...atRoot, ...inDocs.map((path) => join('docs', path))].filter((path) =>
    path.endsWith('.md'),
  );
}

test('every link between pages has an existing target', () => {
  const found = pages().filter((page) => page !== join('docs', 'decisions', 'TEMPLATE.md'));
  assert.ok(found.length > 10);
  const dead = found.flatMap((page) => {
    const text = readFileSync(join(ROOT, page), 'utf8');
    const targets = [...text.matchAll(/\]\(([^)#\s]+)/g)].map((match) => match[1] ?? '');
    return targets
      .filter((target) => !target.includes('://'))
      .filter((target) => !existsSync(join(ROOT, dirname(page), target)))
      .map((target) => `${page}: ${target}`);
  });
  assert.deepEqual(dead, []);
});

test('every decision is in the index', () => {
  const folder = join(ROOT, 'docs', 'decisions');
  const index = readFileSync(join(folder, 'README.md'), 'utf8');
  const missing = readdirSync(folder)
    .filter((name) => !['README.md', 'TEMPLATE.md'].includes(name))
    .filter((name) => !index.includes(`(${name})`));
  assert.deepEqual(missing, []);
});
