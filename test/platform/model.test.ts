/** The emulated platform's model in virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Machine } from '../../src/core/registry/backend.js';
import {
  DEFAULT_PLATFORM_OPTIONS,
  PlatformModel,
  VersionedTable,
} from '../../src/lab/platform/index.js';

function daemon(name: string): Machine {
  return { kind: 'daemon', name, zone: 'z', state: 'live', address: '127.0.0.1', port: 1 };
}

test('the version of a key keeps growing after a deletion, and a deleted row is absent', () => {
  const table = new VersionedTable();
  const put = (version: number, value: unknown) =>
    table.transact([{ key: 'k', version }], [{ key: 'k', value }]);
  assert.deepEqual(put(0, 'one').rows, [{ key: 'k', version: 1, value: 'one' }]);
  assert.deepEqual(put(1, null).rows, [{ key: 'k', version: 0, value: null }]);
  assert.deepEqual(table.scan('', 10), []);
  assert.deepEqual(put(0, 'two').rows, [{ key: 'k', version: 3, value: 'two' }]);
  assert.equal(put(1, 'late').committed, false);
});

test('one failed check prevents every write of the transaction and returns the row of the check', () => {
  const table = new VersionedTable();
  table.transact([], [{ key: 'a', value: 1 }]);
  const outcome = table.transact(
    [
      { key: 'a', version: 1 },
      { key: 'b', version: 4 },
    ],
    [
      { key: 'a', value: 2 },
      { key: 'c', value: 3 },
    ],
  );
  assert.deepEqual(outcome, { committed: false, rows: [{ key: 'b', version: 0, value: null }] });
  assert.deepEqual(table.scan('', 10), [{ key: 'a', version: 1, value: 1 }]);
});

test('a scan returns rows with the prefix in key order, after the given key and up to the limit', () => {
  const table = new VersionedTable();
  for (const key of ['p/2', 'p/1', 'q/1', 'p/3']) table.transact([], [{ key, value: key }]);
  const keys = (rows: readonly { key: string }[]) => rows.map((row) => row.key);
  assert.deepEqual(keys(table.scan('p/', 2)), ['p/1', 'p/2']);
  assert.deepEqual(keys(table.scan('p/', 2, 'p/2')), ['p/3']);
});

test('the rate limit admits a burst, then the rate, and a refusal contains the exact delay', () => {
  const limits = { ...DEFAULT_PLATFORM_OPTIONS.limits, table: { perSecond: 10, burst: 2 } };
  const model = new PlatformModel({ limits, machineLagMs: 0 });
  const kinds = [0, 0, 0].map((now) => model.admit('table', false, now));
  assert.deepEqual(
    kinds.map(({ kind }) => kind),
    ['admitted', 'admitted', 'refused'],
  );
  assert.deepEqual(kinds[2], { kind: 'refused', status: 429, retryAfterMs: 100 });
  assert.equal(model.admit('table', false, 99).kind, 'refused');
  assert.equal(model.admit('table', false, 100).kind, 'admitted');
  assert.deepEqual(model.counts().table, { calls: 5, overRate: 2, whileDown: 0, lost: 0 });
});

test('losses by count and by seeded probability are reproducible', () => {
  const draw = (faults: Parameters<PlatformModel['setFaults']>[0]) => {
    const model = new PlatformModel();
    model.setFaults(faults);
    return Array.from({ length: 60 }, (_, n) => model.admit('table', true, n * 1_000))
      .map((admission) => admission.kind === 'admitted' && admission.lost === 'answer')
      .map(Number)
      .join('');
  };
  const every = draw({ table: { loseAnswers: { kind: 'every', nth: 3 } } });
  assert.equal(every, '001'.repeat(20));
  const random = { table: { loseAnswers: { kind: 'random', probability: 0.5, seed: 7 } } } as const;
  assert.equal(draw(random), draw(random));
  assert.match(draw(random), /01.*10/);
});

test('the machine list lags, and a longer lag never reverts changes already shown', () => {
  const model = new PlatformModel({ ...DEFAULT_PLATFORM_OPTIONS, machineLagMs: 100 });
  const names = (now: number) => model.machines.read(now).machines.map(({ name }) => name);
  model.machines.put(daemon('a'), 1_000);
  assert.deepEqual(names(1_099), []);
  assert.deepEqual(names(1_100), ['a']);
  model.machines.remove('a', 1_110);
  model.setFaults({ machineLagMs: 5_000 });
  assert.deepEqual(model.machines.read(1_300), { ageMs: 300, machines: [daemon('a')] });
  assert.deepEqual(names(6_109), ['a']);
  assert.deepEqual(names(6_110), []);
});
