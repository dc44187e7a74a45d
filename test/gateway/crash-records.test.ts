/** Crash records: quarantine, clearing, merging, eviction and expiry. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  CRASH_RECORD_RETENTION_MS,
  type CrashRecord,
  CrashRecords,
} from '../../src/core/gateway/index.js';

const MAX_RECORDS = 4_096;

const CRASHES = [
  { serverId: 's-1', ageMs: 400, ranMs: 50 },
  { serverId: 's-2', ageMs: 380, ranMs: 100 },
  { serverId: 's-3', ageMs: 200, ranMs: 90 },
];
const TWO_CRASHES = ['s-1', 's-2'].map((serverId) => ({ serverId, ageMs: 0, ranMs: 0 }));

function record(fields: Partial<CrashRecord>): CrashRecord {
  return {
    subject: 'f',
    crashes: [],
    isQuarantined: false,
    clearings: 0,
    isStored: false,
    ageMs: 0,
    ...fields,
  };
}

test('a second crashed server quarantines a request; the same server reported twice does not', () => {
  const records = new CrashRecords();
  assert.equal(records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 10), 'none');
  assert.ok(!records.isQuarantined('f'));
  assert.equal(records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 20), 'quarantined');
  assert.ok(records.isQuarantined('f'));
  assert.equal(records.quarantined, 1);
  assert.ok(!records.isQuarantined('g'));
});

test('a complete run clears a request, and older records do not quarantine it again', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 0);
  assert.equal(records.clear('f', 10), 'cleared');
  assert.equal(records.quarantined, 0);
  assert.equal(records.applyRecord(record({ crashes: TWO_CRASHES }), 20), 'none');
  assert.ok(!records.isQuarantined('f'));
  assert.equal(records.recordCrash('f', { serverId: 's-3', ranMs: 0 }, 30), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-4', ranMs: 0 }, 40), 'quarantined');
});

test('clearing an unknown request leaves no record', () => {
  const records = new CrashRecords();
  assert.equal(records.clear('f', 0), 'none');
  assert.ok(records.isEmpty);
});

test('a record of a peer that missed a clearing causes the clearing to be advertised again, however old it is', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.clear('f', 0);
  assert.deepEqual(records.nextToAdvertise(10, 60_000), []);
  records.applyRecord(record({ crashes: TWO_CRASHES }), 60_000);
  assert.deepEqual(
    records.nextToAdvertise(10, 60_000).map(({ clearings }) => clearings),
    [1],
  );
});

test('servers that end together under copies of a request count as one crash', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 80 }, 100);
  assert.equal(records.recordCrash('f', { serverId: 's-2', ranMs: 60 }, 101), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-3', ranMs: 30 }, 120), 'recorded');
  assert.equal(records.recordCrash('f', { serverId: 's-4', ranMs: 40 }, 160), 'quarantined');
});

test('servers that end together count as one crash also when each was observed by another daemon', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 80 }, 100);
  const received = record({ crashes: [{ serverId: 's-2', ageMs: 3, ranMs: 60 }] });
  assert.equal(records.applyRecord(received, 104), 'recorded');
  assert.ok(!records.isQuarantined('f'));
});

test('a quarantine by one daemon holds at all others', () => {
  const records = new CrashRecords();
  const crashes = [{ serverId: 's-1', ageMs: 5, ranMs: 60 }];
  assert.equal(records.applyRecord(record({ crashes, isQuarantined: true }), 100), 'quarantined');
});

test('records merge to the same state in any order and when received more than once', () => {
  const anyRecord = fc.record({
    subject: fc.constantFrom('f', 'g'),
    crashes: fc.uniqueArray(fc.constantFrom(...CRASHES), { maxLength: 3 }),
    isQuarantined: fc.boolean(),
    clearings: fc.nat(2),
    isStored: fc.boolean(),
    ageMs: fc.nat(1_000),
  });
  const recordsTwice = fc
    .array(anyRecord, { maxLength: 12 })
    .chain((all) =>
      fc.tuple(
        fc.constant(all),
        fc.shuffledSubarray([...all, ...all], { minLength: 2 * all.length }),
      ),
    );
  fc.assert(
    fc.property(recordsTwice, ([all, other]) => {
      const stateAfter = (order: readonly CrashRecord[]) => {
        const records = new CrashRecords();
        for (const one of order) records.applyRecord(one, 5_000);
        return ['f', 'g'].map((name) => {
          const known = records.get(name, 5_000);
          return [
            known?.clearings,
            known?.isQuarantined,
            known?.crashes.map(({ serverId }) => serverId).sort(),
          ];
        });
      };
      assert.deepEqual(stateAfter(all), stateAfter(other));
    }),
    { seed: 34, numRuns: 500 },
  );
});

test('the number of records is bounded, and quarantined ones are evicted last', () => {
  const records = new CrashRecords();
  records.recordCrash('kept', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('kept', { serverId: 's-2', ranMs: 0 }, 0);
  for (let index = 0; index < MAX_RECORDS + 100; index += 1) {
    records.recordCrash(`f-${index}`, { serverId: 's-3', ranMs: 0 }, 10);
  }
  assert.equal(records.requests, MAX_RECORDS);
  assert.ok(records.isQuarantined('kept'));
});

test('a record is removed after its retention time, and an expired one is not applied', () => {
  const records = new CrashRecords();
  records.recordCrash('f', { serverId: 's-1', ranMs: 0 }, 0);
  records.recordCrash('f', { serverId: 's-2', ranMs: 0 }, 0);
  assert.deepEqual(records.removeExpired(CRASH_RECORD_RETENTION_MS - 1), []);
  assert.deepEqual(records.removeExpired(CRASH_RECORD_RETENTION_MS), ['f']);
  assert.equal(records.quarantined, 0);
  const old = record({ crashes: TWO_CRASHES, ageMs: CRASH_RECORD_RETENTION_MS });
  assert.equal(records.applyRecord(old, CRASH_RECORD_RETENTION_MS), 'none');
});

test('more records than fit in a message are advertised round robin', () => {
  const records = new CrashRecords();
  for (let index = 0; index < 5; index += 1)
    records.recordCrash(`f-${index}`, { serverId: 's-1', ranMs: 0 }, 0);
  const advertised = new Set<string>();
  for (let turn = 0; turn < 3; turn += 1) {
    for (const { subject } of records.nextToAdvertise(2, 100)) advertised.add(subject);
  }
  assert.equal(advertised.size, 5);
});
