/** When a table is read whole again after a disturbance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecheckSchedule } from '../../src/core/gateway/index.js';

const HOLD_MS = 1_000;

/** When reads are due where it is asked after each held call. */
function readsFrom(schedule: RecheckSchedule, fromMs: number, toMs: number): number[] {
  const reads: number[] = [];
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += HOLD_MS) {
    if (schedule.next(nowMs) !== 'none') reads.push(nowMs);
  }
  return reads;
}

test('without a disturbance nothing is read again', () => {
  assert.deepEqual(readsFrom(new RecheckSchedule(), 0, 20_000), []);
});

test('reads end with the time, and none comes later than a held call and an eighth of it after the last', () => {
  const schedule = new RecheckSchedule();
  schedule.begin(0, 18_000);
  const reads = readsFrom(schedule, 0, 40_000);
  assert.equal(reads[0], 0);
  assert.ok((reads.at(-1) ?? 0) >= 18_000 && (reads.at(-1) ?? 0) <= 18_000 * 1.125 + HOLD_MS);
  for (const [index, atMs] of reads.slice(1).entries()) {
    const beforeMs = reads[index] ?? 0;
    assert.ok(atMs - beforeMs <= beforeMs / 8 + HOLD_MS, `${beforeMs} ms to ${atMs} ms`);
  }
  assert.ok(reads.length < 18, `${reads.length} reads, one with each held call`);
  assert.equal(schedule.isUnderWay, false);
});

test('a short disturbance during a longer one shortens nothing, and is looked at at once', () => {
  const schedule = new RecheckSchedule();
  schedule.begin(0, 18_000);
  schedule.next(10_000);
  schedule.begin(10_500, 4_000);
  assert.equal(schedule.next(10_500), 'due');
  assert.equal(schedule.next(17_000), 'due');
  assert.equal(schedule.next(18_500), 'last');
});
