/** Log lines of a daemon about its listener for callers and about engine polls. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import { createDaemonState } from '../../src/core/daemon/index.js';
import { refusedNotRun } from '../../src/core/errors/fault.js';
import type { LogFields } from '../../src/core/logging/log-event.js';
import { startDaemon } from '../../src/daemon/daemon.js';
import { type DaemonShells, EffectPerformer } from '../../src/daemon/effect-performer.js';
import type { Logger } from '../../src/shell/logging/index.js';
import { loadSettings } from '../../src/shell/settings/index.js';
import { machine, report } from '../routing/fixtures.js';

const ANY = '127.0.0.1:0';
const ENDPOINT = { address: '127.0.0.1', port: 1 };

/** A logger that stores the event number and the fields of each line. */
function memoryLogger() {
  const lines: { number: number; fields: LogFields }[] = [];
  const logger: Logger = {
    write: (event, fields = {}) => lines.push({ number: event.number, fields }),
    flush: () => {},
  };
  return { logger, lines, numbers: () => lines.map((line) => line.number) };
}

test('a daemon logs where it listens for callers and when it stops accepting', async (t) => {
  const flags = { name: 'd1', zone: 'a', platform: '127.0.0.1:9', fleetKeyEnv: 'KEY' };
  const listen = { listenCallers: ANY, listenOperators: ANY, listenPeers: ANY };
  const environment = { KEY: '0123456789abcdef' };
  const settings = loadSettings({ ...flags, ...listen }, () => '', environment)._unsafeUnwrap();
  const { logger, lines, numbers } = memoryLogger();
  const daemon = await startDaemon(settings, logger);
  t.after(() => daemon.stopNow());
  const { address, port } = daemon.callers;
  const listening = lines.find((line) => line.number === 2000);
  assert.deepEqual(listening?.fields, { address: `${address}:${port}` });
  assert.equal(await daemon.stop(), 'clean');
  const wanted = new Set([1001, 1002, 2000, 2001]);
  const stopping = numbers().filter((number) => wanted.has(number));
  assert.deepEqual(stopping, [2000, 1001, 2001, 1002]);
});

test('a daemon logs when an engine stops answering, when another engine answers for it, and when it recovers', async () => {
  const { logger, lines, numbers } = memoryLogger();
  const silent = err(refusedNotRun('backend-broken', 'no answer'));
  const answers = [silent, silent, ok(report('y')), ok(report('x')), silent, silent];
  const listings = [[machine('x')], []];
  const shells = {
    logger,
    engines: { report: async () => answers.shift() },
    platform: { machines: async () => ok({ machines: listings.shift(), unusable: [] }) },
  } as unknown as DaemonShells;
  const identity = { name: 'd1', zone: 'a', incarnation: 1, peerEndpoint: ENDPOINT, seeds: [] };
  const state = createDaemonState({ ...identity, maxWaitingPerClass: 1 });
  let wake = (): void => {};
  const performer = new EffectPerformer({
    shells,
    state: () => state,
    now: () => 0,
    emit: () => wake(),
    onChangeAnswer: () => {},
    onStopReady: () => {},
  });
  const perform = (effect: Parameters<EffectPerformer['perform']>[0]): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
      performer.perform(effect);
    });
  const poll = () => perform({ kind: 'ask-report', engine: 'x', endpoint: ENDPOINT });
  for (let index = 0; index < 5; index += 1) await poll();
  assert.deepEqual(numbers(), [3000, 3002, 3001, 3000]);
  assert.deepEqual(lines[1]?.fields, { engine: 'x', answeredBy: 'y' });
  await perform({ kind: 'list-machines' });
  await perform({ kind: 'list-machines' });
  await poll();
  assert.deepEqual(numbers(), [3000, 3002, 3001, 3000, 3000]);
});
