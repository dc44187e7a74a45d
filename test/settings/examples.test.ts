import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parse } from 'yaml';
import { parseDocument } from '../../src/core/configuration/validate.js';
import { formatProblem, loadSettings } from '../../src/shell/settings/index.js';

const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url));
const FLEET_KEY = 'a-fleet-key-for-this-test';
const FLEET_KEY_FILE = '/run/secrets/threadfork-fleet-key';

function readFile(path: string): string {
  return path === FLEET_KEY_FILE ? `${FLEET_KEY}\n` : readFileSync(path, 'utf8');
}

for (const name of ['daemon-scanhuis.yaml', 'daemon-roasting.yaml']) {
  test(`examples/${name} contains valid settings`, () => {
    const environment = { THREADFORK_FLEET_KEY: FLEET_KEY };
    const loaded = loadSettings({ settings: EXAMPLES + name }, readFile, environment);
    assert.deepEqual(loaded.isErr() ? loaded.error.map(formatProblem) : [], []);
    assert.equal(loaded._unsafeUnwrap().fleetKey, FLEET_KEY);
  });
}

test('the example configurations are valid', () => {
  const folder = `${EXAMPLES}configurations/`;
  const names = readdirSync(folder);
  assert.deepEqual(names.toSorted(), ['roasting.yaml', 'scanhuis.yaml']);
  for (const name of names) {
    const checked = parseDocument(parse(readFileSync(folder + name, 'utf8')));
    assert.equal(checked.isErr() ? checked.error.message : '', '', name);
  }
});
