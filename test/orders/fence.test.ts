import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  compareFences,
  describeAction,
  isSameAction,
  isStale,
} from '../../src/core/orders/index.js';

test('fences order by epoch, then by sequence', () => {
  assert.ok(compareFences({ epoch: 2, sequence: 1 }, { epoch: 1, sequence: 9 }) > 0);
  assert.ok(compareFences({ epoch: 1, sequence: 1 }, { epoch: 1, sequence: 2 }) < 0);
  assert.equal(isStale({ epoch: 1, sequence: 2 }, { epoch: 1, sequence: 2 }), true);
  assert.equal(isStale({ epoch: 1, sequence: 3 }, { epoch: 1, sequence: 2 }), false);
  assert.equal(isStale({ epoch: 1, sequence: 1 }, null), false);
});

test('actions are the same only when every part is', () => {
  const load = { kind: 'load-model', model: 'labels', version: '2' } as const;
  assert.equal(isSameAction(load, { ...load }), true);
  assert.equal(isSameAction(load, { ...load, version: '3' }), false);
  assert.equal(describeAction({ kind: 'set-role', role: 'decode' }), 'set-role decode');
});
