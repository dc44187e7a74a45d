/** Counting the runs of tenants, and collecting the counts of all daemons. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { splitIntoParts, UsageCollection, UsageCounts } from '../../src/core/tenant-usage/index.js';

const DAEMONS = 200;

test('a run counts in the window in which it began, and old windows are forgotten', () => {
  const counts = new UsageCounts(5_000, 10_000);
  counts.recordRun('a', 9_999);
  counts.recordRun('a', 10_000);
  counts.recordRun('b', 10_001);
  assert.deepEqual([...counts.of(1)], [['a', 1]]);
  assert.deepEqual(
    [...counts.of(2)],
    [
      ['a', 1],
      ['b', 1],
    ],
  );
  counts.recordRun('a', 45_000);
  assert.deepEqual([...counts.of(1)], []);
});

test('the counts of 200 daemons add up however their parts come: twice, in any order, of two lives', () => {
  const runs = fc.record({
    daemon: fc.integer({ min: 0, max: DAEMONS - 1 }),
    incarnation: fc.integer({ min: 1, max: 2 }),
    tenant: fc.integer({ min: 0, max: 300 }),
  });
  fc.assert(
    fc.property(
      fc.array(runs, { maxLength: 600 }),
      fc.integer({ min: 0, max: 1_000 }),
      (all, turn) => {
        const byLife = new Map<string, UsageCounts>();
        for (const { daemon, incarnation, tenant } of all) {
          const key = `${daemon} ${incarnation}`;
          const counts = byLife.get(key) ?? new UsageCounts(5_000, 10_000);
          byLife.set(key, counts);
          counts.recordRun(`tenant-${tenant}`, 1_000);
        }
        const parts = [...byLife].flatMap(([key, counts]) => {
          const [daemon = '', incarnation = ''] = key.split(' ');
          return splitIntoParts(counts.of(0), {
            daemon,
            incarnation: Number(incarnation),
            window: 0,
          });
        });
        const first = turn % Math.max(1, parts.length);
        const collection = new UsageCollection(0);
        for (const part of [...parts.slice(first), ...parts, ...parts.slice(0, first)]) {
          collection.addPart(part);
        }
        const total = [...collection.total().values()].reduce((sum, each) => sum + each, 0);
        assert.equal(total, all.length);
        const tenants = [...collection.total().keys()];
        assert.deepEqual(tenants, [...tenants].sort());
      },
    ),
    { seed: 26, numRuns: 100 },
  );
});

test('a daemon has answered once all of its parts are there', () => {
  const counts = new UsageCounts(5_000, 10_000);
  for (let tenant = 0; tenant < 100; tenant += 1) counts.recordRun(`t${tenant}`, 0);
  const parts = splitIntoParts(counts.of(0), { daemon: 'a', incarnation: 1, window: 0 });
  assert.equal(parts.length, 2);
  const collection = new UsageCollection(0);
  const [first, second] = parts;
  if (first !== undefined) collection.addPart(first);
  assert.equal(collection.hasAnswered('a'), false);
  if (second !== undefined) collection.addPart(second);
  assert.equal(collection.hasAnswered('a'), true);
});
