/**
 * A fleet whose machine list is far behind: at first it names none of the daemons, which so know nothing of each other.
 * One that was asked for a change answered that it was applied, in force on one daemon, while the others served the old
 * configuration. It has to wait until it knows them.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { FaultFleet } from './support/fault-fleet.js';
import { SMALL_FLEET } from './support/fleet-definition.js';

const MACHINE_LAG_MS = 6_000;
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start({ ...SMALL_FLEET, machineLagMs: MACHINE_LAG_MS });
});
after(() => fleet?.end());

test('a change is applied only when the daemons that the list does not name yet have it', async () => {
  const daemon = fleet.daemon('d2');
  const text = 'set share of class interactive to 0.7';
  const outcome = await fleet.change(daemon, text, { id: 'early' });
  assert.ok(outcome.kind === 'applied', JSON.stringify(outcome));
  assert.equal(outcome.inForce, SMALL_FLEET.daemons.length);
});
