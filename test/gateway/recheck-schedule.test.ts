/** When full reads of a table are repeated after a disturbance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecheckSchedule } from '../../src/core/gateway/index.js';

const HOLD_MS = 1_000;

/** The times of due reads if the schedule is checked after each long poll. */
function readsFrom(schedule: RecheckSchedule, fromMs: number, toMs: number): number[] {
  const reads: number[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += HOLD_MS) {
    if (schedule.next(nowMs) !== 'none') reads.push(nowMs);
  }
  return reads;
}

test('without a disturbance no read is repeated', () => {
  assert.deepEqual(readsFrom(new RecheckSchedule(), 0, 20_000), []);
});

test('reads end with the period, and gaps are at most a long poll and an eighth of the time since its start', () => {
  const schedule = new RecheckSchedule();
  schedule.begin(0, 18_000);
  const reads = readsFrom(schedule, 0, 40_000);
  assert.equal(reads[0], 0);
  assert.ok((reads.at(-1) ?? 0) >= 18_000 && (reads.at(-1) ?? 0) <= 18_000 * 1.125 + HOLD_MS);
  for (const [index, atMs] of reads.slice(1).entries()) {
    const beforeMs = reads[index] ?? 0;
    assert.ok(atMs - beforeMs <= beforeMs / 8 + HOLD_MS, `${beforeMs} ms to ${atMs} ms`);
  }
  assert.ok(reads.length < 18, `${reads.length} reads, one with each long poll`);
  assert.equal(schedule.isUnderWay, false);
});

test('a short disturbance during a longer period does not shorten it, and causes a read at once', () => {
  const schedule = new RecheckSchedule();
  schedule.begin(0, 18_000);
  schedule.next(10_000);
  schedule.begin(10_500, 4_000);
  assert.equal(schedule.next(10_500), 'due');
  assert.equal(schedule.next(17_000), 'due');
  assert.equal(schedule.next(18_500), 'last');
});
