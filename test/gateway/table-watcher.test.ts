/** How a watched table is followed: what is asked of the store, and when. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WatchAnswer, WatchedTable } from '../../src/shell/gateway/ports.js';
import { TableWatcher } from '../../src/shell/gateway/table-watcher.js';
import { ManualTimers } from './support/manual-timers.js';

const GATHER_MS = 400;

/** A table in which a row changes with every call. */
class RestlessTable implements WatchedTable<number> {
  readonly name = 'restless';
  calls = 0;

  readAll(): Promise<WatchAnswer<number>> {
    return this.#answer();
  }

  changesAfter(): Promise<WatchAnswer<number>> {
    return this.#answer();
  }

  #answer(): Promise<WatchAnswer<number>> {
    this.calls += 1;
    const rows = [{ kind: 'value', key: 'row', value: this.calls }] as const;
    return Promise.resolve({ kind: 'rows', rows, revision: this.calls });
  }
}

function watcherOf(table: RestlessTable, gatherMs: number, timers: ManualTimers, taken: number[]) {
  const take = (rows: readonly { readonly kind: string }[]) => {
    for (const row of rows) if ('value' in row) taken.push(Number(row.value));
  };
  return new TableWatcher<number>({
    table,
    consumer: { takeAll: take, takeChanges: take },
    waitMs: 1_000,
    gatherMs,
    timers,
    log: { write: () => undefined },
  });
}

/** Lets everything run that waits for no timer. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('changes that come close together are gathered: the first is taken at once, the next later', async () => {
  const timers = new ManualTimers();
  const table = new RestlessTable();
  const taken: number[] = [];
  const watcher = watcherOf(table, GATHER_MS, timers, taken);
  const running = watcher.run();
  await settled();
  assert.deepEqual(taken, [1, 2]);
  timers.advance(GATHER_MS - 1);
  await settled();
  assert.equal(table.calls, 2);
  timers.advance(1);
  await settled();
  assert.deepEqual(taken, [1, 2, 3]);
  watcher.stop();
  timers.advance(GATHER_MS);
  await running;
});
