import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { judge, parseKnownRed, type TestOutcome } from '../../scripts/known-red.js';

const RUNNER = fileURLToPath(new URL('../../scripts/run-tests.js', import.meta.url));
const RED_SOURCE = 'test/frame/fixtures/red.ts';
const RED_TEST = `${RED_SOURCE} > sums > wrong`;

function runFixture(knownRed: string) {
  const folder = mkdtempSync(join(tmpdir(), 'known-red-'));
  try {
    const list = join(folder, 'KNOWN-RED.txt');
    writeFileSync(list, knownRed);
    const { NODE_TEST_CONTEXT: _, ...environment } = process.env;
    const command = [RUNNER, '--known-red', list, RED_SOURCE];
    return spawnSync(process.execPath, command, { env: environment, encoding: 'utf8' });
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test('a failing test fails the run and is printed', () => {
  const run = runFixture('');
  assert.equal(run.status, 1);
  assert.match(run.stdout, new RegExp(`^# failed: ${RED_TEST}$`, 'm'));
  assert.match(run.stdout, /^# tests 2$/m);
});

test('a failing test on the known-red list does not fail the run and is printed before the summary', () => {
  const run = runFixture(`${RED_TEST} | npm test | Number adds up wrong | issue 7\n`);
  assert.equal(run.status, 0, run.stdout + run.stderr);
  assert.match(run.stdout, /# known red, passed over: .* > wrong .*issue 7.*\n(.*\n)*# tests 2\n/);
});

test('a test on the known-red list that passes is printed, and other failures still fail the run', () => {
  const run = runFixture(`${RED_SOURCE} > sums > right | npm test | none | 7\n`);
  assert.equal(run.status, 1);
  assert.match(run.stdout, /# known red but passed.* > right/);
});

test('with an invalid known-red list no test runs', () => {
  const run = runFixture(`${RED_TEST} | npm test | seen without an issue | soon\n`);
  assert.equal(run.status, 2);
  assert.match(run.stderr, /lacks an issue number/);
  assert.equal(run.stdout, '');
});

test('each line of the known-red list has test, command and seed, what was seen, and issue', () => {
  const parsed = parseKnownRed('# note\n\na | npm test; seed 5 | fails | #1\n')._unsafeUnwrap();
  assert.deepEqual(parsed, [{ test: 'a', command: 'npm test; seed 5', seen: 'fails', issue: '1' }]);
  const bad = [
    '| npm test | fails | 1',
    'a || fails | 1',
    'a | npm test || 1',
    'a | npm test | fails |',
    'a | npm test | fails | soon',
    'a | fails | 1',
    'a | npm test | fails | 1 | 2',
  ];
  for (const line of bad) assert.ok(parseKnownRed(line).isErr(), line);
});

test('skipped tests, listed tests that did not run, and an empty run fail the run', () => {
  const passed: TestOutcome = { test: 'a', kind: 'passed' };
  assert.equal(judge([passed], []).isGood, true);
  assert.equal(judge([], []).isGood, false);
  assert.equal(judge([passed, { test: 'b', kind: 'skipped' }], []).isGood, false);
  const listed = [{ test: 'gone', command: 'npm test', seen: 's', issue: '1' }];
  assert.equal(judge([passed], listed).isGood, false);
});

test('CI runs the commands that the README gives', () => {
  const root = new URL('../../../', import.meta.url);
  const readme = readFileSync(new URL('README.md', root), 'utf8');
  const ci = readFileSync(new URL('.ci/run', root), 'utf8');
  assert.match(readme, /^npm ci && npm test$/m);
  assert.match(ci, /^npm ci$/m);
  assert.match(ci, /^npm test$/m);
});
