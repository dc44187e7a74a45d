/** Guards against a step of the machine's time of day that changes the times of a stop. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';

const STEP_MS = 5_000;
const CUTS_IN_MS = 7_300;

let fixture: GatewayFixture;
let timers: ManualTimers;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(1, [route({})]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
});

afterEach(() => fixture.stop());

for (const stepMs of [STEP_MS, -STEP_MS]) {
  test(`a stop has its whole grace period as the time of day was set by ${stepMs} ms`, async () => {
    await timers.advanceBy(1_000);
    fixture.clockStepMs = stepMs;
    await timers.advanceBy(50);
    void fixture.stopDaemon('front-1');
    const [begun] = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.stopping);
    assert.equal(begun?.fields.cutsInMs, CUTS_IN_MS);
  });
}
