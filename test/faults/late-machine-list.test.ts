/**
 * A fleet whose machine list lags: at first it lists none of the daemons, so they do not know of each other. A daemon must
 * not report a change as applied before it knows the others: it did so with the change in force on itself alone, while the
 * other daemons served the old configuration.
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

test('a change is reported as applied only when daemons that the machine list does not contain yet have it too', async () => {
  const daemon = fleet.daemon('d2');
  const text = 'set share of class interactive to 0.7';
  const outcome = await fleet.change(daemon, text, { id: 'early' });
  assert.ok(outcome.kind === 'applied', JSON.stringify(outcome));
  assert.equal(outcome.inForce, SMALL_FLEET.daemons.length);
});
