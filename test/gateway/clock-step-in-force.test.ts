/** Guards against a step of the machine's time of day that falsifies how long a configuration has been in force. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';

const STEP_MS = 5_000;
const IN_FORCE_MS = 700;
const SLACK_MS = 400;

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
  test(`the age of a configuration that came after the time of day was set by ${stepMs} ms is right`, async () => {
    fixture.clockStepMs = stepMs;
    await timers.advanceBy(50);
    fixture.store.putConfiguration(configuration(2, [route({})]));
    const isSecond = () =>
      fixture.lines.some(
        ({ event, fields }) =>
          event === GATEWAY_EVENTS.configurationInForce && fields.configurationVersion === 2,
      );
    await timers.advanceUntil(isSecond);
    await timers.advanceBy(IN_FORCE_MS);
    const refused = fixture.call({ path: '/nowhere' });
    const line = () => fixture.lines.find(({ event }) => event === GATEWAY_EVENTS.routeUnknown);
    await timers.advanceUntil(() => line() !== undefined);
    await refused;
    const inForceForMs = Number(line()?.fields.inForceForMs);
    assert.ok(inForceForMs >= IN_FORCE_MS, `${inForceForMs} ms`);
    assert.ok(inForceForMs <= IN_FORCE_MS + SLACK_MS, `${inForceForMs} ms`);
  });
}
