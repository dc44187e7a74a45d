/** Checks that docs/CLI.md names every command and exit code, and that the example configurations are valid. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as exitCodes from '../../src/cli/exit-codes.js';
import { runThreadfork } from './harness.js';

const ROOT = new URL('../../../', import.meta.url);
const PAGE = readFileSync(new URL('docs/CLI.md', ROOT), 'utf8');

test('the page names every command and every option of apply and complete', async () => {
  const help = (await runThreadfork(['--help'])).stdout;
  const commands = [...help.matchAll(/^ {2}threadfork ([a-z]+(?: (?:check|show))?)/gm)].map(
    ([, path]) => path,
  );
  assert.ok(commands.length >= 9);
  for (const command of commands) {
    assert.ok(PAGE.includes(`\`threadfork ${command}`), command);
  }
  for (const command of ['apply', 'complete']) {
    const { stdout } = await runThreadfork([command, '--help']);
    for (const [option] of stdout.matchAll(/--[a-z-]+/g)) {
      assert.ok(PAGE.includes(option), `${command} ${option}`);
    }
  }
});

test('the page lists every exit code', () => {
  for (const code of Object.values(exitCodes)) {
    assert.match(PAGE, new RegExp(`^\\| ${code} +\\|`, 'm'));
  }
});

test('the example configurations are valid', async () => {
  const folder = fileURLToPath(new URL('examples/configurations/', ROOT));
  const files = readdirSync(folder);
  assert.ok(files.length >= 2);
  for (const file of files) {
    const checked = await runThreadfork(['config', 'check', `${folder}${file}`]);
    assert.deepEqual([checked.code, checked.stderr], [0, ''], file);
  }
});
