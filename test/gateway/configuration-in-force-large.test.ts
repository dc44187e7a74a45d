/**
 * Guards against a configuration that is in force too late in the largest fleet after a silence of the store; the smaller
 * fleets are in configuration-in-force.test.ts. A file of its own, as a file may take three minutes on a busy machine.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FLEETS, LARGEST_FLEET, lateChangesAfterSilences } from './support/disturbed-zone.js';

test('a change while all daemons of the largest fleet regain the store after a silence is in force in time', async () => {
  const fleets = FLEETS.filter(({ fleet }) => fleet === LARGEST_FLEET);
  assert.equal(fleets.length, 1);
  assert.deepEqual(await lateChangesAfterSilences(fleets), []);
});
