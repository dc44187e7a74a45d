/** When a daemon reads the list of daemons again, and when a match with the relay's list confirms it without a call. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerRoster } from '../../src/core/gateway/index.js';
import type { TableCall, TableResult } from '../../src/core/platform/table.js';
import { PeerDirectory } from '../../src/shell/gateway/peer-directory.js';
import { ManualTimers } from './support/manual-timers.js';

const DAEMONS = 20;
const PORT = 7_660;
const CHECK_INTERVAL_MS = 1_000;

function peerRow(daemon: number) {
  const value = { host: '127.0.0.1', port: PORT + daemon, zone: 'a' };
  return { key: `peer/d${daemon}`, version: 1, value };
}

function setUp(relayPeersChecksum: (roster: PeerRoster) => number | undefined) {
  const timers = new ManualTimers();
  const roster = new PeerRoster({ name: 'd0', zone: 'a' });
  const counts: number[] = [];
  let scans = 0;
  let writes = 0;
  const store = { isDown: false };
  const call = async ({ kind }: TableCall): Promise<TableResult> => {
    if (store.isDown) return { kind: 'unavailable', reason: 'down', retryAfterMs: 0 };
    if (kind === 'transact') {
      writes += 1;
      return { kind: 'committed', rows: [] };
    }
    scans += 1;
    return { kind: 'rows', rows: Array.from({ length: DAEMONS }, (_, daemon) => peerRow(daemon)) };
  };
  const directory = new PeerDirectory({
    daemon: 'd0',
    zone: 'a',
    listen: { host: '127.0.0.1' },
    table: { call },
    roster,
    timers,
    random: () => 0.5,
    log: { write: () => undefined },
    recordDaemonCount: (daemons) => counts.push(daemons),
    relayPeersChecksum: () => relayPeersChecksum(roster),
  });
  void directory.run({ port: PORT });
  /** Advances the time and lets the calls that become due finish. */
  const advance = async (spanMs: number) => {
    timers.advance(spanMs);
    for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
  };
  return { directory, counts, advance, store, scansMade: () => scans, writesMade: () => writes };
}

test('a list that matches the relay’s is confirmed without another call', async () => {
  const { directory, counts, advance, scansMade } = setUp((roster) => roster.checksum);
  await advance(0);
  assert.deepEqual([scansMade(), counts], [1, [DAEMONS]]);
  await advance(CHECK_INTERVAL_MS);
  assert.deepEqual([scansMade(), counts], [1, [DAEMONS, DAEMONS]]);
  directory.stop();
});

test('the list is read again if the relay has another one or sends no digest', async () => {
  for (const checksum of [() => 1, () => undefined]) {
    const { directory, counts, advance, scansMade } = setUp(checksum);
    await advance(0);
    await advance(CHECK_INTERVAL_MS);
    assert.deepEqual([scansMade(), counts], [2, [DAEMONS, DAEMONS]]);
    directory.stop();
  }
});

// Otherwise the row of a daemon that started after the copy stays missing until its next scan, up to 20 s later.
test('after a restore from a copy a daemon rewrites its row, and rereads the list once all daemons have', async () => {
  const { directory, advance, scansMade, writesMade } = setUp((roster) => roster.checksum);
  await advance(0);
  assert.deepEqual([writesMade(), scansMade()], [1, 1]);
  directory.handleStoreRestored();
  for (let seconds = 0; seconds < 2; seconds += 1) await advance(CHECK_INTERVAL_MS);
  assert.deepEqual([writesMade(), scansMade()], [2, 1]);
  for (let seconds = 0; seconds < 3; seconds += 1) await advance(CHECK_INTERVAL_MS);
  assert.deepEqual([writesMade(), scansMade()], [2, 2]);
  directory.stop();
});

// A daemon without the list records its streams nowhere, and has no share of the fleet's limits.
test('a daemon that starts while the store is away reads the list within a second of its return', async () => {
  const { directory, counts, advance, store } = setUp(() => undefined);
  store.isDown = true;
  for (let seconds = 0; seconds < 8; seconds += 1) await advance(CHECK_INTERVAL_MS);
  assert.deepEqual(counts, []);
  store.isDown = false;
  await advance(CHECK_INTERVAL_MS);
  assert.deepEqual(counts, [DAEMONS]);
  directory.stop();
});
