/** When a relay tells how far it has seen the store's tables change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WordToTell } from '../../src/core/gateway/index.js';

const word = (configurations: number, servers: number) => ({ configurations, servers, ageMs: 0 });

test('a change is told at once, and no change now and then as a sign of life', () => {
  const told = new WordToTell();
  assert.equal(told.next(word(1, 1), 0), 'zone');
  assert.equal(told.next(word(1, 1), 60), 'nobody');
  assert.equal(told.next(word(1, 2), 120), 'zone');
  assert.equal(told.next(word(1, 2), 180), 'nobody');
  assert.notEqual(told.next(word(1, 2), 520), 'nobody');
});

test('other zones hear each third time', () => {
  const told = new WordToTell();
  const audiences = [0, 1, 2, 3, 4, 5].map((beat) => told.next(word(1, 1), beat * 400));
  assert.deepEqual(audiences, ['zone', 'zone', 'everyone', 'zone', 'zone', 'everyone']);
});
