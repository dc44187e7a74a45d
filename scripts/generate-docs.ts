/**
 * Writes the generated sections of docs/: `npm run docs`.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { generatedPages } from './generated-pages.js';

const PROJECT_ROOT = fileURLToPath(new URL('../..', import.meta.url));

for (const page of generatedPages(PROJECT_ROOT)) {
  writeFileSync(join(PROJECT_ROOT, page.path), page.content);
}
