import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { generatedPages } from '../../scripts/generated-pages.js';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

for (const page of generatedPages(ROOT)) {
  test(`${page.path} matches what the code generates`, () => {
    const standing = readFileSync(join(ROOT, page.path), 'utf8');
    assert.equal(standing, page.content, `${page.path} differs: run npm run docs and commit it`);
  });
}
