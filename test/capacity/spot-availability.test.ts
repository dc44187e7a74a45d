/** When a zone is believed to have no spot servers to give. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SpotAvailability } from '../../src/core/capacity/index.js';

/** What is lost of a zone whose counts are seen one after the other, each so long after the one before. */
function lossesOf(counts: readonly number[], gapMs: number, ordered: number): readonly number[] {
  const supply = new SpotAvailability();
  return counts.map((servers, index) => supply.recordCount('a', servers, ordered, index * gapMs));
}

test('most of a zone at once, or within a moment, was taken away', () => {
  assert.deepEqual(lossesOf([13, 13, 0], 200, 13), [0, 0, 13]);
  assert.equal(Math.max(...lossesOf([13, 9, 4], 500, 13)), 9);
});

test('one by one, a single one, or those that were let go, were not', () => {
  assert.deepEqual(lossesOf([4, 3, 2, 1], 4_000, 4), [0, 0, 0, 0]);
  assert.deepEqual(lossesOf([1, 0], 200, 1), [0, 0]);
  assert.deepEqual(lossesOf([20, 6], 200, 6), [0, 0]);
});

test('a zone has some again once an order was accepted, or servers have come', () => {
  const supply = new SpotAvailability();
  supply.recordOrderOutcome('a', 'conflict');
  assert.equal(supply.hasSpot('a'), false);
  supply.recordOrderOutcome('a', 'unknown');
  assert.equal(supply.hasSpot('a'), false);
  supply.recordOrderOutcome('a', 'accepted');
  assert.equal(supply.hasSpot('a'), true);
  supply.recordCount('b', 8, 8, 0);
  supply.recordCount('b', 0, 8, 200);
  assert.equal(supply.hasSpot('b'), false);
  supply.recordCount('b', 3, 8, 400);
  assert.equal(supply.hasSpot('b'), true);
});
