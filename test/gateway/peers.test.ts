/** What daemons tell each other of their work at engines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type LoadReport, PeerLoads } from '../../src/core/gateway/index.js';
import type { TableCall, TableResult, TableRow } from '../../src/core/platform/table.js';
import { PeerExchange } from '../../src/shell/gateway/peer-exchange.js';
import { deferred } from './support/deferred.js';
import { ManualTimers } from './support/manual-timers.js';

function report(fields: Partial<LoadReport> = {}): LoadReport {
  const work = [{ engineId: 'e', pendingMs: 300, running: 2 }];
  return { daemon: 'a', incarnation: 1, sequence: 1, work, ...fields };
}

test('the work of all daemons adds up and fades as time passes', () => {
  const loads = new PeerLoads();
  loads.take(report(), 0);
  loads.take(report({ daemon: 'b' }), 100);
  assert.equal(loads.waitMs('e', 100), 500);
  assert.equal(loads.running('e', 100), 4);
  assert.equal(loads.waitMs('e', 1_000), 0);
  assert.equal(loads.running('e', 5_000), 0);
});

test('an older report of the same life is not taken, one of a new life is', () => {
  const loads = new PeerLoads();
  loads.take(report({ sequence: 5, work: [] }), 0);
  loads.take(report({ sequence: 4 }), 0);
  assert.equal(loads.waitMs('e', 0), 0);
  loads.take(report({ incarnation: 2, sequence: 1 }), 0);
  assert.equal(loads.waitMs('e', 0), 300);
});

/** Rows that all daemons of a test share. */
class SharedTable {
  readonly #rows = new Map<string, TableRow>();

  call(call: TableCall): Promise<TableResult> {
    if (call.kind === 'transact') {
      for (const write of call.writes) this.#rows.set(write.key, { ...write, version: 1 });
      return Promise.resolve({ kind: 'committed', rows: [] });
    }
    return Promise.resolve({ kind: 'rows', rows: [...this.#rows.values()] });
  }
}

test('daemons find each other by the store and tell what changed', async () => {
  const timers = new ManualTimers();
  const table = new SharedTable();
  const received = deferred<LoadReport>();
  const scanned = deferred<void>();
  const common = { incarnation: 1, listen: { host: '127.0.0.1', port: 0 }, timers };
  const listener = new PeerExchange({
    ...common,
    daemon: 'a',
    table: {
      call: async (call) => {
        const result = await table.call(call);
        if (call.kind === 'scan') scanned.resolve();
        return result;
      },
    },
    loads: { take: received.resolve },
    noteDaemonCount: () => undefined,
    ownWork: () => [],
  });
  listener.start();
  await scanned.promise;
  const found = deferred<void>();
  const counted: number[] = [];
  const teller = new PeerExchange({
    ...common,
    daemon: 'b',
    table: {
      call: async (call) => {
        const result = await table.call(call);
        if (call.kind === 'scan') setImmediate(() => found.resolve());
        return result;
      },
    },
    loads: { take: () => undefined },
    noteDaemonCount: (daemons) => counted.push(daemons),
    ownWork: () => report().work,
  });
  teller.start();
  await found.promise;
  teller.noteChange();
  timers.advance(20);
  const told = await received.promise;
  listener.stop();
  teller.stop();
  assert.deepEqual(counted, [2]);
  assert.deepEqual(told, { daemon: 'b', incarnation: 1, sequence: 1, work: report().work });
});
