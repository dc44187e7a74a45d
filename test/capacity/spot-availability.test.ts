/** When a zone counts as having no spot servers available. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SpotAvailability } from '../../src/core/capacity/index.js';

/** The losses detected in a sequence of server counts of one zone, `gapMs` apart. */
function lossesOf(counts: readonly number[], gapMs: number, ordered: number): readonly number[] {
  const supply = new SpotAvailability();
  return counts.map((servers, index) => supply.recordCount('a', servers, ordered, index * gapMs));
}

test('a loss of most servers of a zone, at once or within seconds, counts as reclaimed', () => {
  assert.deepEqual(lossesOf([13, 13, 0], 200, 13), [0, 0, 13]);
  assert.equal(Math.max(...lossesOf([13, 9, 4], 500, 13)), 9);
});

test('servers lost one by one, a single server, or servers removed by an order do not count as reclaimed', () => {
  assert.deepEqual(lossesOf([4, 3, 2, 1], 4_000, 4), [0, 0, 0, 0]);
  assert.deepEqual(lossesOf([1, 0], 200, 1), [0, 0]);
  assert.deepEqual(lossesOf([20, 6], 200, 6), [0, 0]);
});

test('a zone counts as having spot servers again once an order is accepted or servers have come', () => {
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
