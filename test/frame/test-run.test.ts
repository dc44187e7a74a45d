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
  const run = runFixture(`${RED_TEST} | Number adds up wrong | issue 7\n`);
  assert.equal(run.status, 0, run.stdout + run.stderr);
  assert.match(run.stdout, /# known red, passed over: .* > wrong .*issue 7.*\n(.*\n)*# tests 2\n/);
});

test('a test on the known-red list that passes is printed, and other failures still fail the run', () => {
  const run = runFixture(`${RED_SOURCE} > sums > right | none | 7\n`);
  assert.equal(run.status, 1);
  assert.match(run.stdout, /# known red but passed.* > right/);
});

test('with an invalid known-red list no test runs', () => {
  const run = runFixture(`${RED_TEST} | cause without an issue\n`);
  assert.equal(run.status, 2);
  assert.match(run.stderr, /lacks an issue number/);
  assert.equal(run.stdout, '');
});

test('the known-red list has at most three lines, each with test, cause and issue', () => {
  const line = (name: string): string => `${name} | cause | #1`;
  assert.equal(
    parseKnownRed(`# note\n\n${['a', 'b', 'c'].map(line).join('\n')}`)._unsafeUnwrap().length,
    3,
  );
  assert.match(
    parseKnownRed(['a', 'b', 'c', 'd'].map(line).join('\n'))._unsafeUnwrapErr().join(),
    /at most 3/,
  );
  for (const bad of ['| cause | 1', 'a || 1', 'a | cause |', 'a | cause | soon', 'a | b | 1 | 2']) {
    assert.ok(parseKnownRed(bad).isErr(), bad);
  }
});

test('skipped tests, listed tests that did not run, and an empty run fail the run', () => {
  const passed: TestOutcome = { test: 'a', kind: 'passed' };
  assert.equal(judge([passed], []).isGood, true);
  assert.equal(judge([], []).isGood, false);
  assert.equal(judge([passed, { test: 'b', kind: 'skipped' }], []).isGood, false);
  const listed = [{ test: 'gone', cause: 'c', issue: '1' }];
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
