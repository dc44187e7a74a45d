/** What a relay tells its zone, and what it leaves out. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SumsAdvertiser } from '../../src/core/gateway/index.js';

const WORK = { engineId: 'e', pendingMs: 500, lateMs: 0, running: 2 };

test('the first sums are whole, then changes alone, and whole again after a time', () => {
  const sums = new SumsAdvertiser();
  assert.deepEqual(sums.next([WORK], 0), { isComplete: true, work: [WORK] });
  const other = { engineId: 'f', pendingMs: 100, lateMs: 0, running: 1 };
  const left = { ...WORK, pendingMs: 400 };
  assert.deepEqual(sums.next([left, other], 100), { isComplete: false, work: [other] });
  assert.equal(sums.next([WORK], 1_000).isComplete, true);
});

test('time that passes is no change; more work, or another stream, is', () => {
  const sums = new SumsAdvertiser();
  sums.next([WORK], 0);
  assert.deepEqual(sums.next([{ ...WORK, pendingMs: 300 }], 200).work, []);
  const more = { ...WORK, pendingMs: 350 };
  assert.deepEqual(sums.next([more], 200).work, [more]);
  const another = { ...WORK, pendingMs: 250, running: 3 };
  assert.deepEqual(sums.next([another], 300).work, [another]);
});

test('an engine that has no work any more is told once, with none', () => {
  const sums = new SumsAdvertiser();
  sums.next([WORK], 0);
  assert.deepEqual(sums.next([], 100).work, [
    { engineId: 'e', pendingMs: 0, lateMs: 0, running: 0 },
  ]);
  assert.deepEqual(sums.next([], 200).work, []);
});
