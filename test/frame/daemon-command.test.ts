import assert from 'node:assert/strict';
import { execFileSync, spawn, spawnSync } from 'node:child_process';
import { on, once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Cli } from 'clipanion';
import { DAEMON_EVENTS } from '../../src/core/logging/catalogue/daemon.js';
import { DaemonCommand, type DaemonContext } from '../../src/daemon/command.js';
import { StopSignals } from '../../src/daemon/stop-signals.js';
import type { RunningDaemon, StopOutcome } from '../../src/daemon/types.js';

const PROGRAM = fileURLToPath(new URL('../../src/daemon/main.js', import.meta.url));
const ADDRESS = '127.0.0.1:0';
const FLAGS = ['--name', 'd1', '--zone', 'z1', '--platform', '127.0.0.1:9'];
const LISTEN = [
  '--listen-callers',
  ADDRESS,
  '--listen-operators',
  ADDRESS,
  '--listen-peers',
  ADDRESS,
];
const GOOD_FLAGS = [...FLAGS, ...LISTEN, '--fleet-key-env', 'KEY'];
const GOOD_FILE = `name: d1
zone: z1
listen: { callers: ${ADDRESS}, operators: ${ADDRESS}, peers: ${ADDRESS} }
platform: 127.0.0.1:9
fleetKey: { value: 0123456789abcdef }
`;

function checkFile(content: string) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  try {
    const file = join(folder, 'daemon.yaml');
    writeFileSync(file, content);
    const command = [PROGRAM, '--settings', file, '--check-config'];
    return spawnSync(process.execPath, command, { encoding: 'utf8' });
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test('--check-config accepts a valid settings file and reports each invalid one in one line', () => {
  assert.equal(checkFile(GOOD_FILE).status, 0);
  const broken: readonly (readonly [string, RegExp])[] = [
    [GOOD_FILE.replace('zone: z1\n', ''), /^\S+daemon\.yaml:1: zone: found nothing; .+\n$/],
    [`${GOOD_FILE}stopGrace: 5\n`, /^\S+daemon\.yaml:6: stopGrace: .* write stopGraceMs\n$/],
    [
      GOOD_FILE.replace('127.0.0.1:9', 'host:9'),
      /^\S+daemon\.yaml:4: platform: found "host:9"; .+\n$/,
    ],
  ];
  for (const [content, expected] of broken) {
    const run = checkFile(content);
    assert.equal(run.status, 2);
    assert.match(run.stderr, expected);
    assert.equal(run.stdout, '');
  }
});

test('an unknown flag exits with 2, the code for a usage error', () => {
  assert.equal(spawnSync(process.execPath, [PROGRAM, '--no-such-flag']).status, 2);
});

/** Runs the command with a fake daemon whose stop behaves as given. */
function runWith(stop: () => Promise<StopOutcome>, duringStart = (): void => {}) {
  const stdout = new PassThrough();
  const calls: string[] = [];
  const endpoint = { address: '127.0.0.1', port: 4711 };
  const daemon: RunningDaemon = {
    callers: endpoint,
    operators: endpoint,
    peers: endpoint,
    stop: () => {
      calls.push('stop');
      return stop();
    },
    stopNow: async () => void calls.push('stopNow'),
  };
  const context: DaemonContext = {
    ...Cli.defaultContext,
    env: { KEY: '0123456789abcdef' },
    stdout,
    signals: new StopSignals(),
    startDaemon: async () => {
      duringStart();
      return daemon;
    },
  };
  const exitCode = Cli.from([DaemonCommand]).run(GOOD_FLAGS, context);
  return { stdout, calls, exitCode };
}

test('the command prints a ready line, and the first signal stops the daemon cleanly', async () => {
  const { stdout, calls, exitCode } = runWith(async () => 'clean');
  const [line] = await once(stdout, 'data');
  assert.deepEqual(JSON.parse(String(line)), {
    ready: true,
    callers: '127.0.0.1:4711',
    operators: '127.0.0.1:4711',
    peers: '127.0.0.1:4711',
  });
  process.emit('SIGTERM');
  assert.equal(await exitCode, 0);
  assert.deepEqual(calls, ['stop']);
});

test('a signal during the start stops the daemon as soon as it has started', async () => {
  const { calls, exitCode } = runWith(
    async () => 'clean',
    () => void process.emit('SIGTERM'),
  );
  assert.equal(await exitCode, 0);
  assert.deepEqual(calls, ['stop']);
});

test('the command exits with 1 after a stop that cut requests and after a second signal', async () => {
  const cut = runWith(async () => 'cut');
  await once(cut.stdout, 'data');
  process.emit('SIGINT');
  assert.equal(await cut.exitCode, 1);

  let isStopping = (): void => {};
  const stopping = new Promise<void>((resolve) => {
    isStopping = resolve;
  });
  const hanging = runWith(() => {
    isStopping();
    return new Promise(() => {});
  });
  await once(hanging.stdout, 'data');
  process.emit('SIGTERM');
  await stopping;
  process.emit('SIGTERM');
  assert.equal(await hanging.exitCode, 1);
  assert.deepEqual(hanging.calls, ['stop', 'stopNow']);
});

// Guards against a daemon that ends when it is told to reload its settings, during its start or later.
test('a request for a reload ends no daemon, also while it starts', {
  timeout: 20_000,
}, async () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'daemon.yaml');
  execFileSync('mkfifo', [file]);
  const daemon = spawn(process.execPath, [PROGRAM, '--settings', file]);
  const log = createInterface({ input: daemon.stderr });
  const reloads = on(log, 'line');
  // Resolves once the daemon reads its settings, and keeps it there until they are written.
  const writer = await open(file, 'w');
  daemon.kill('SIGHUP');
  await writer.writeFile(GOOD_FILE);
  await writer.close();
  await once(daemon.stdout, 'data');
  daemon.kill('SIGHUP');
  let ignored = 0;
  for await (const [line] of reloads) {
    if (JSON.parse(String(line)).event === DAEMON_EVENTS.reloadIgnored.number) ignored += 1;
    if (ignored === 2) break;
  }
  daemon.kill('SIGKILL');
  await once(daemon, 'exit');
  rmSync(folder, { recursive: true });
});

test('a daemon whose log has no room answers, and ends at a stop', {
  timeout: 20_000,
}, async (context) => {
  const log = await open('/dev/full', 'w');
  const daemon = spawn(process.execPath, [PROGRAM, ...GOOD_FLAGS], {
    env: { ...process.env, KEY: '0123456789abcdef' },
    stdio: ['ignore', 'pipe', log.fd],
  });
  context.after(async () => {
    daemon.kill('SIGKILL');
    await log.close();
  });
  assert.ok(daemon.stdout !== null);
  const [line] = await once(daemon.stdout, 'data');
  const { callers } = JSON.parse(String(line)) as { readonly callers: string };
  const answer = await fetch(`http://${callers}/readyz`, { signal: AbortSignal.timeout(5_000) });
  assert.equal(answer.status, 503);
  daemon.kill('SIGTERM');
  assert.deepEqual(await once(daemon, 'exit'), [0, null]);
});
