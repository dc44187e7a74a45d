/** Output and exit codes of the operator commands against an operator server. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { refusedNotRun } from '../../src/core/errors/fault.js';
import { CHANGE_TOKEN, READ_TOKEN, StubBackend, startStub } from '../operator/stub-backend.js';
import {
  closedAddress,
  type RunOptions,
  type RunResult,
  runThreadfork,
  startRawServer,
} from './harness.js';

const backend = new StubBackend();
const { server, address } = await startStub(backend);
const closedPort = await closedAddress();
const droppingServer = await startRawServer((socket) => socket.destroy());
const malformedServer = await startRawServer((socket) =>
  socket.end('HTTP/1.1 400 Bad\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}'),
);
const folder = mkdtempSync(join(tmpdir(), 'threadfork-cli-'));
after(async () => {
  rmSync(folder, { recursive: true });
  await droppingServer.close();
  await malformedServer.close();
  await server.close();
});

function run(commandLine: readonly string[], options: RunOptions = {}): Promise<RunResult> {
  const env = { THREADFORK_DAEMON: address, THREADFORK_TOKEN: CHANGE_TOKEN, ...options.env };
  return runThreadfork(commandLine, { ...options, env });
}

function fileOf(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

test('query prints a table or JSON, in colour only on a terminal without NO_COLOR', async () => {
  const query = ['query', 'engines order by name desc select name, running'];
  const plain = await run(query);
  assert.deepEqual(plain, { code: 0, stdout: 'name  running\ne2    0\ne1    3\n', stderr: '' });
  assert.equal((await run(query, { isTerminal: true })).stdout.slice(0, 8), '\u001b[1mname');
  assert.equal(
    (await run(query, { isTerminal: true, env: { NO_COLOR: '1' } })).stdout,
    plain.stdout,
  );
  const json = await run([...query, '--json']);
  assert.deepEqual(JSON.parse(json.stdout)[0], { name: 'e2', running: 0 });
});

test('a refused query prints the reason and exits 1, also with --json', async () => {
  const refused = await run(['query', 'engines where zoen = "a"', '--json']);
  assert.equal(refused.code, 1);
  assert.match(refused.stderr, /^refused: The table engines has no field "zoen"/);
  assert.equal(JSON.parse(refused.stdout).error.code, 'invalid-command');
});

test('apply exits 0 if applied or dry run and 1 if refused; a repeated id takes effect once', async () => {
  const applied = await run(['apply', 'drain e1', '--id', 'a1']);
  assert.equal(applied.code, 0);
  assert.match(applied.stdout, /^applied: change a1 is in force as version 1 on 4 daemon/);
  const again = await run(['apply', 'drain e1', '--id', 'a1']);
  assert.deepEqual(again, applied);
  const dryRun = await run(['apply', 'dry run return e1']);
  assert.deepEqual(
    [dryRun.code, /nothing was changed:\n {2}backend e1 takes/.test(dryRun.stdout)],
    [0, true],
  );
  const stale = await run(['apply', 'drain e2', '--if-version', '0']);
  assert.equal(stale.code, 1);
  assert.match(stale.stderr, /^refused: Version 1 is in force.*\(version 1 is in force\)/);
  const readOnly = await run(['apply', 'drain e2', '--token', READ_TOKEN]);
  assert.deepEqual([readOnly.code, /This token may only read/.test(readOnly.stderr)], [1, true]);
  assert.equal(backend.current.version, 1);
});

test('apply accepts a YAML document or a file of statements', async () => {
  const document = fileOf('fleet.yaml', 'models: { labels: { version: "7" } }\n');
  assert.equal((await run(['apply', '--file', document])).code, 0);
  assert.equal(backend.current.document.models.labels?.version, '7');
  const statements = fileOf(
    'roll.tf',
    'begin # night\n roll model labels to 8;\n drain e2\ncommit\n',
  );
  assert.equal((await run(['apply', '--file', statements, '--json'])).code, 0);
  assert.equal(backend.current.document.models.labels?.version, '8');
  assert.equal((await run(['apply', '--file', join(folder, 'none.yaml')])).code, 2);
  assert.equal((await run(['apply', '--file', fileOf('bad.yaml', 'a: [')])).code, 2);
});

test('an unreachable daemon is skipped; if no daemon is reachable the exit code is 3', async () => {
  const skipped = await run(['status', '--daemon', closedPort, '--daemon', address]);
  assert.deepEqual([skipped.code, /^daemon +d1$/m.test(skipped.stdout)], [0, true]);
  const unreachable = await run(['apply', 'drain e1', '--daemon', closedPort, '--json']);
  assert.equal(unreachable.code, 3);
  assert.equal(JSON.parse(unreachable.stdout).kind, 'unreachable');
  assert.match(unreachable.stderr, /^unreachable: no daemon answered/);
});

test('a lost answer ends as unknown, with a query for the outcome by id', async () => {
  const lost = await run(['apply', 'drain e1', '--daemon', droppingServer.address, '--json']);
  const outcome = JSON.parse(lost.stdout);
  assert.deepEqual([lost.code, outcome.kind], [3, 'unknown']);
  assert.ok(lost.stderr.includes(`changes where id = "${outcome.id}"`));
  assert.ok(droppingServer.received.at(-1)?.includes(`"id":"${outcome.id}"`));
});

test('after a lost answer the next daemon gets the same id, and its refusal is reported as unknown', async () => {
  const daemons = ['--daemon', droppingServer.address, '--daemon', address];
  const applied = await run(['apply', 'drain e3', '--id', 'b1', ...daemons]);
  assert.equal(applied.code, 0);
  assert.ok(droppingServer.received.at(-1)?.includes('"id":"b1"'));
  backend.override = async ({ id }) => {
    const fault = refusedNotRun('store-unavailable', 'The store is down.');
    return { kind: 'refused', id, fault, currentVersion: null };
  };
  const refused = await run(['apply', 'drain e4', '--id', 'b2', ...daemons]);
  backend.override = null;
  assert.equal(refused.code, 3);
  assert.match(refused.stderr, /^unknown: The answer of one daemon was lost.*The store is down/);
  const wrongToken = await run(['apply', 'drain e4', '--token', 'no', ...daemons]);
  assert.deepEqual([wrongToken.code, /^unknown/.test(wrongToken.stderr)], [3, true]);
});

test('a change recorded but not confirmed by all daemons is unknown and names the missing daemons', async () => {
  backend.override = async ({ id }) => ({
    kind: 'unknown',
    id,
    message: 'Recorded as version 9.',
    recordedVersion: 9,
    waitingFor: ['d3\u001b[2J'],
  });
  const unknown = await run(['apply', 'drain e1', '--id', 'w1']);
  backend.override = null;
  assert.equal(unknown.code, 3);
  assert.match(unknown.stderr, /Recorded as version 9. Waiting for d3\?\[2J\./);
});

test('a malformed answer is never taken for a refusal', async () => {
  for (const commandLine of [['status'], ['apply', 'drain e1']]) {
    const result = await run([...commandLine, '--daemon', malformedServer.address]);
    assert.deepEqual([result.code, /is not understood/.test(result.stderr)], [3, true]);
  }
});

test('explain prints its sentences and tables', async () => {
  const engine = await run(['explain', 'engine', 'e1']);
  assert.equal(
    engine.stdout,
    'engine e1 was chosen for its score\n\nCandidates\nengine  score\ne1      12.5\n',
  );
  assert.equal((await run(['explain', 'engine', 'nothing'])).code, 1);
  assert.equal((await run(['explain', 'config', '--json'])).code, 0);
});

test('the output of config show is accepted by apply and config check', async () => {
  const before = backend.current;
  const shown = await run(['config', 'show']);
  const path = fileOf('shown.yaml', shown.stdout);
  assert.equal((await run(['config', 'check', path])).code, 0);
  assert.equal((await run(['apply', '--file', path])).code, 0);
  assert.deepEqual(backend.current, { ...before, version: before.version + 1 });
  const commands = await run(['config', 'show', '--commands']);
  assert.match(commands.stdout, /^# version \d+\nbegin\n(.*\n)*commit\n$/);
  const tenants = Array.from({ length: 400 }, (_, index) => [
    `t${index}`,
    { class: 'interactive' },
  ]);
  const large = JSON.stringify({ tenants: Object.fromEntries(tenants) });
  assert.equal((await run(['apply', '--file', fileOf('large.json', large)])).code, 0);
  const tooLarge = fileOf('large.tf', (await run(['config', 'show', '--commands'])).stdout);
  assert.match((await run(['apply', '--file', tooLarge])).stderr, /Apply a large change as a YAML/);
  assert.match((await run(['config', 'show', '--commands'])).stdout, /^# version.*\n# over 16384/);
  const wrong = await run(['config', 'check', fileOf('wrong.yaml', 'modles: {}\n')]);
  assert.deepEqual([wrong.code, /modles/.test(wrong.stderr)], [1, true]);
  assert.equal((await run(['config', 'check', fileOf('broken.yaml', 'a: [')])).code, 1);
});

for (const commandLine of [
  ['query'],
  ['nothing'],
  ['status', '--daemon', 'localhost:9000'],
  ['status', '--timeout', 'soon'],
  ['status', '--token-file', '/nowhere/token'],
  ['apply'],
  ['apply', 'drain e1', '--if-version', 'x'],
  ['explain', 'weather'],
  ['explain', 'engine'],
  ['completion', 'tcsh'],
  ['complete', '--model', 'm', '--prompt', 'p'],
]) {
  test(`an invalid command line exits 2: ${commandLine.join(' ')}`, async () => {
    assert.equal((await run(commandLine)).code, 2);
  });
}
