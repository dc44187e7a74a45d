/** When a relay tells how far it has seen the store's tables change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DigestSchedule } from '../../src/core/gateway/index.js';

const digest = (configurations: number, servers: number) => ({
  configurations: { era: 0, changed: configurations, seen: configurations, reread: 0 },
  servers: { era: 0, changed: servers, seen: servers, reread: 0 },
  ageMs: 0,
  configurationVersion: 0,
  peersChecksum: 1,
});

test('a change is told at once, and no change now and then as a sign of life', () => {
  const told = new DigestSchedule();
  assert.equal(told.next(digest(1, 1), 0), 'everyone');
  assert.equal(told.next(digest(1, 1), 60), 'nobody');
  assert.equal(told.next(digest(1, 2), 120), 'zone');
  assert.equal(told.next(digest(1, 2), 180), 'nobody');
  assert.notEqual(told.next(digest(1, 2), 520), 'nobody');
});

test('everyone hears the first time and each ninth, the own zone each time', () => {
  const told = new DigestSchedule();
  const audiences = Array.from({ length: 12 }, (_, beat) => told.next(digest(1, 1), beat * 400));
  const allPeers = audiences.flatMap((audience, beat) => (audience === 'everyone' ? [beat] : []));
  assert.deepEqual(allPeers, [0, 9]);
  assert.equal(audiences.filter((audience) => audience === 'zone').length, 10);
});
