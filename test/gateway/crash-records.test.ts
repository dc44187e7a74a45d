/** What is known of requests under which servers ended. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  CRASH_RECORD_RETENTION_MS,
  type CrashRecord,
  CrashRecords,
} from '../../src/core/gateway/index.js';

const MOST_RECORDS = 4_096;

const CRASHES = [
  { serverId: 's-1', ageMs: 400, ranMs: 50 },
  { serverId: 's-2', ageMs: 380, ranMs: 100 },
  { serverId: 's-3', ageMs: 200, ranMs: 90 },
];
const TWO_CRASHES = ['s-1', 's-2'].map((serverId) => ({ serverId, ageMs: 0, ranMs: 0 }));

function record(fields: Partial<CrashRecord>): CrashRecord {
  return {
    fingerprint: 'f',
    crashes: [],
    isQuarantined: false,
    clearings: 0,
    isStored: false,
    ageMs: 0,
    ...fields,
  };
}

test('the second server that ends under a request quarantines it, the same one twice does not', () => {
  const records = new CrashRecords();
  assert.equal(records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 10), 'none');
  assert.ok(!records.isQuarantined('f'));
  assert.equal(records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 20), 'quarantined');
  assert.ok(records.isQuarantined('f'));
  assert.equal(records.quarantined, 1);
  assert.ok(!records.isQuarantined('g'));
});

test('a whole run clears a request, and what was known before does not come back', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 0);
  assert.equal(records.clear('f', 10), 'cleared');
  assert.equal(records.quarantined, 0);
  assert.equal(records.take(record({ crashes: TWO_CRASHES }), 20), 'none');
  assert.ok(!records.isQuarantined('f'));
  assert.equal(records.recordCrash('f', { serverId: 's-3', ranMs: 0 }, 30), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-4', ranMs: 0 }, 40), 'quarantined');
});

test('a request that nothing is known of is not cleared', () => {
  const records = new CrashRecords();
  assert.equal(records.clear('f', 0), 'none');
  assert.ok(records.isEmpty);
});

test('whoever missed a clearing is told of it again, however long it is over', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.clear('f', 0);
  assert.deepEqual(records.nextToAdvertise(10, 60_000), []);
  records.take(record({ crashes: TWO_CRASHES }), 60_000);
  assert.deepEqual(
    records.nextToAdvertise(10, 60_000).map(({ clearings }) => clearings),
    [1],
  );
});

test('servers that end together under copies of a request count once', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 80 }, 100);
  assert.equal(records.recordCrash('f', { serverId: 's-2', ranMs: 60 }, 101), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-3', ranMs: 30 }, 120), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-4', ranMs: 40 }, 160), 'quarantined');
});

test('that they ended together is seen as well where each daemon knows of one', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 80 }, 100);
  const told = record({ crashes: [{ serverId: 's-2', ageMs: 3, ranMs: 60 }] });
  assert.equal(records.take(told, 104), 'recorded');
  assert.ok(!records.isQuarantined('f'));
});

test('what one daemon has found enough is enough for all', () => {
  const records = new CrashRecords();
  const crashes = [{ serverId: 's-1', ageMs: 5, ranMs: 60 }];
  assert.equal(records.take(record({ crashes, isQuarantined: true }), 100), 'quarantined');
});

test('records in any order, told more than once, come to the same', () => {
  const told = fc.record({
    fingerprint: fc.constantFrom('f', 'g'),
    crashes: fc.uniqueArray(fc.constantFrom(...CRASHES), { maxLength: 3 }),
    isQuarantined: fc.boolean(),
    clearings: fc.nat(2),
    isStored: fc.boolean(),
    ageMs: fc.nat(1_000),
  });
  const course = fc
    .array(told, { maxLength: 12 })
    .chain((all) =>
      fc.tuple(
        fc.constant(all),
        fc.shuffledSubarray([...all, ...all], { minLength: 2 * all.length }),
      ),
    );
  fc.assert(
    fc.property(course, ([all, other]) => {
      const believes = (order: readonly CrashRecord[]) => {
        const records = new CrashRecords();
        for (const one of order) records.take(one, 5_000);
        return ['f', 'g'].map((name) => {
          const known = records.get(name, 5_000);
          return [
            known?.clearings,
            known?.isQuarantined,
            known?.crashes.map(({ serverId }) => serverId).sort(),
          ];
        });
      };
      assert.deepEqual(believes(all), believes(other));
    }),
    { seed: 34, numRuns: 500 },
  );
});

test('there are never more than so many records, and quarantined ones go last', () => {
  const records = new CrashRecords();
  records.recordCrash('kept', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('kept', { serverId: 's-2', ranMs: 0 }, 0);
  for (let index = 0; index < MOST_RECORDS + 100; index += 1) {
    records.recordCrash(`f-${index}`, { serverId: 's-3', ranMs: 0 }, 10);
  }
  assert.equal(records.size, MOST_RECORDS);
  assert.ok(records.isQuarantined('kept'));
});

test('a record is forgotten after its time, and an old one is not taken', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 0);
  assert.deepEqual(records.dropOld(CRASH_RECORD_RETENTION_MS - 1), []);
  assert.deepEqual(records.dropOld(CRASH_RECORD_RETENTION_MS), ['f']);
  assert.equal(records.quarantined, 0);
  const old = record({ crashes: TWO_CRASHES, ageMs: CRASH_RECORD_RETENTION_MS });
  assert.equal(records.take(old, CRASH_RECORD_RETENTION_MS), 'none');
});

test('more records than fit a message are told by turns', () => {
  const records = new CrashRecords();
  for (let index = 0; index < 5; index += 1)
    records.recordCrash(`f-${index}`, { serverId: 's-1', ranMs: 0 }, 0);
  const told = new Set<string>();
  for (let turn = 0; turn < 3; turn += 1) {
    for (const { fingerprint } of records.nextToAdvertise(2, 100)) told.add(fingerprint);
  }
  assert.equal(told.size, 5);
});
