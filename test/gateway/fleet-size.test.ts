/** The fleet size that daemons derive from their lists, by which they divide the fleet's limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetSize } from '../../src/core/gateway/index.js';

function sizeAfter(lists: readonly number[]): FleetSize {
  const size = new FleetSize();
  for (const daemons of lists) size.recordListed(daemons);
  return size;
}

test('one list alone may be incomplete; a second list that is not longer confirms the size', () => {
  assert.equal(sizeAfter([]).sharers, undefined);
  assert.equal(sizeAfter([59]).sharers, undefined);
  assert.equal(
    sizeAfter([5, 59]).sharers,
    undefined,
    'the first list was incomplete, the second may be too',
  );
  assert.equal(sizeAfter([5, 59, 59]).sharers, 59);
  assert.equal(sizeAfter([59, 58]).sharers, 59);
});

test('a growing fleet changes the shares at once, a shrinking one leaves them as they were', () => {
  assert.equal(sizeAfter([59, 59, 70]).sharers, 70);
  const shrunk = sizeAfter([59, 59, 20]);
  assert.deepEqual({ listed: shrunk.listed, sharers: shrunk.sharers }, { listed: 20, sharers: 59 });
});
