/**
 * Guards against requests that are refused after an outage of the platform's store although their servers run: rows of
 * servers that could not be renewed meanwhile have expired, and are written again within about two seconds.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { answering, type ServerStandIn } from './support/server-stand-in.js';

const OUTAGE_MS = 5_000;
const REWRITTEN_AFTER_MS = 2_000;
const STEP_MS = 200;
const SERVER = 'i-1';

let fixture: GatewayFixture;
let timers: ManualTimers;
let server: ServerStandIn;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers);
  fixture.store.putConfiguration(configuration(1, [route({})]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  server = await fixture.addServer(SERVER, answering(200, 'tile'));
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.serverAdded),
  );
});

afterEach(() => fixture.stop());

async function pass(spanMs: number): Promise<void> {
  const endMs = timers.nowMs() + spanMs;
  await timers.advanceUntil(() => timers.nowMs() >= endMs);
}

/** The store is away; the server's row expires before it is back. */
async function loseRow(isHistoryLost: boolean): Promise<void> {
  fixture.store.fault = 'refuse';
  await pass(OUTAGE_MS);
  fixture.store.remove(TABLES.servers, SERVER);
  fixture.store.fault = 'none';
  if (isHistoryLost) fixture.store.forgetHistory();
}

/** Sends a request every `STEP_MS`; returns the statuses. */
async function callFor(spanMs: number): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let atMs = 0; atMs < spanMs; atMs += STEP_MS) {
    await pass(STEP_MS);
    statuses.push((await fixture.call({ path: '/tiles/1' })).status);
  }
  return statuses;
}

for (const isHistoryLost of [false, true]) {
  const history = isHistoryLost ? 'lost' : 'kept';
  test(`a server whose row expired during an outage of the store is used until its row is written again (history ${history})`, async () => {
    await loseRow(isHistoryLost);
    const before = await callFor(REWRITTEN_AFTER_MS);
    fixture.listServer(SERVER, server, { sequence: 9 });
    const after = await callFor(REWRITTEN_AFTER_MS);
    assert.deepEqual(new Set([...before, ...after]), new Set([200]));
    const departing = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.sentToDeparting);
    assert.ok(departing.length <= before.length, 'a server whose row is back does not depart');
  });

  test(`a server whose row is still missing some seconds after an outage of the store is not used (history ${history})`, async () => {
    await loseRow(isHistoryLost);
    await pass(2 * REWRITTEN_AFTER_MS);
    const sent = server.seen.length;
    assert.deepEqual(new Set(await callFor(REWRITTEN_AFTER_MS)), new Set([503]));
    assert.equal(server.seen.length, sent);
  });
}
