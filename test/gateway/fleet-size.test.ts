/** What daemons believe of the size of their fleet, by which they share its limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetSize } from '../../src/core/gateway/index.js';

function sizeAfter(lists: readonly number[]): FleetSize {
  const size = new FleetSize();
  for (const daemons of lists) size.recordListed(daemons);
  return size;
}

test('one list alone may be short; a second that is no longer confirms it', () => {
  assert.equal(sizeAfter([]).sharers, undefined);
  assert.equal(sizeAfter([59]).sharers, undefined);
  assert.equal(sizeAfter([5, 59]).sharers, undefined, 'the first was short, the second may be');
  assert.equal(sizeAfter([5, 59, 59]).sharers, 59);
  assert.equal(sizeAfter([59, 58]).sharers, 59);
});

test('a fleet that grows is known at once, one that shrinks shares as before', () => {
  assert.equal(sizeAfter([59, 59, 70]).sharers, 70);
  const shrunk = sizeAfter([59, 59, 20]);
  assert.deepEqual({ listed: shrunk.listed, sharers: shrunk.sharers }, { listed: 20, sharers: 59 });
});
