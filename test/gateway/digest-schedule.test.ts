/** When a relay sends its digest of the store's tables, and to whom. */
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

test('a changed digest is sent at once, an unchanged one at intervals as a heartbeat', () => {
  const schedule = new DigestSchedule();
  assert.equal(schedule.next(digest(1, 1), 0), 'everyone');
  assert.equal(schedule.next(digest(1, 1), 60), 'nobody');
  assert.equal(schedule.next(digest(1, 2), 120), 'zone');
  assert.equal(schedule.next(digest(1, 2), 180), 'nobody');
  assert.notEqual(schedule.next(digest(1, 2), 520), 'nobody');
});

test('the first digest and every ninth after it go to the whole fleet, all others to the own zone', () => {
  const schedule = new DigestSchedule();
  const audiences = Array.from({ length: 12 }, (_, index) =>
    schedule.next(digest(1, 1), index * 400),
  );
  const toAll = audiences.flatMap((audience, index) => (audience === 'everyone' ? [index] : []));
  assert.deepEqual(toAll, [0, 9]);
  assert.equal(audiences.filter((audience) => audience === 'zone').length, 10);
});
