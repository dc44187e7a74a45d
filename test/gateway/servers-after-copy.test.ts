/** Which servers a daemon uses after the platform's store was restored from an older copy. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { answering, type ServerStandIn } from './support/server-stand-in.js';
import type { StoreCopy } from './support/store-stand-in.js';

/** How long a server that has started to drain may still be sent requests. */
const DRAIN_MS = 2_000;
/** Rows that other daemons write to the store between the copy and the restore. */
const WRITES_SINCE_COPY = 50;

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

function isLogged(event: LogEvent, server: string): boolean {
  return fixture.lines.some((line) => line.event === event && line.fields.server === server);
}

async function addServer(id: string): Promise<ServerStandIn> {
  const server = await fixture.addServer(id, answering(200, 'tile'));
  await timers.advanceUntil(() => isLogged(GATEWAY_EVENTS.serverAdded, id));
  return server;
}

function writeSinceCopy(): void {
  for (let write = 0; write < WRITES_SINCE_COPY; write += 1) {
    fixture.store.put('other', `row-${write}`, { write });
  }
}

/** Advances the time until a condition holds; fails after `maxMs`. */
async function passWithin(maxMs: number, condition: () => boolean): Promise<void> {
  const endMs = timers.nowMs() + maxMs;
  await timers.advanceUntil(() => condition() || timers.nowMs() >= endMs);
  assert.ok(condition(), `the condition does not hold after ${maxMs} ms`);
}

// Otherwise requests reach a server for more than 2,000 ms after it started to drain, because the restored store's
// answers count as stale.
test('a server that starts to drain after a restore from a copy is sent no more requests after the drain time', async () => {
  const leaving = await addServer('i-leaving');
  const copy = fixture.store.copy();
  writeSinceCopy();
  await addServer('i-staying');
  fixture.store.restore(copy);
  fixture.listServer('i-leaving', leaving, { state: 'draining', sequence: 2 });
  await passWithin(DRAIN_MS, () =>
    fixture.lines.some(
      ({ event, fields }) =>
        event === GATEWAY_EVENTS.serverChanged &&
        fields.server === 'i-leaving' &&
        fields.state === 'draining',
    ),
  );
});

/** After this time servers have rewritten their rows, and rows that nobody refreshes have expired. */
const SETTLED_MS = 6_000;

function isListed(id: string): boolean {
  const last = fixture.lines.findLast(
    ({ event, fields }) =>
      (event === GATEWAY_EVENTS.serverAdded || event === GATEWAY_EVENTS.serverRemoved) &&
      fields.server === id,
  );
  return last?.event === GATEWAY_EVENTS.serverAdded;
}

function stateOf(id: string): unknown {
  const listedEvents: readonly LogEvent[] = [
    GATEWAY_EVENTS.serverAdded,
    GATEWAY_EVENTS.serverChanged,
  ];
  const last = fixture.lines.findLast(
    ({ event, fields }) => listedEvents.includes(event) && fields.server === id,
  );
  return last?.fields.state;
}

async function pass(spanMs: number): Promise<void> {
  const endMs = timers.nowMs() + spanMs;
  await timers.advanceUntil(() => timers.nowMs() >= endMs);
}

/** Lists a server as draining, and waits until the daemon knows. */
async function leave(id: string, server: ServerStandIn): Promise<void> {
  fixture.listServer(id, server, { state: 'draining', sequence: 2 });
  await timers.advanceUntil(() => stateOf(id) === 'draining');
}

/** Restores the store from a copy, and waits until the daemon has read it. */
async function restore(copy: StoreCopy): Promise<void> {
  fixture.store.restore(copy);
  await passWithin(DRAIN_MS, () =>
    fixture.lines.some(
      ({ event, fields }) =>
        event === GATEWAY_EVENTS.storeEraRead && fields.table === TABLES.servers,
    ),
  );
}

test('a server that drains keeps draining though the restored copy lists it as ready', async () => {
  const leaving = await addServer('i-leaving');
  const copy = fixture.store.copy();
  writeSinceCopy();
  await leave('i-leaving', leaving);
  await restore(copy);
  await pass(SETTLED_MS);
  assert.equal(stateOf('i-leaving'), 'draining');
  assert.ok(isListed('i-leaving'));
});

// Otherwise requests are sent again to a server that has left, because the copy still lists it, until its row expires.
for (const manner of ['after draining', 'without draining'] as const) {
  test(`a server that left ${manner} is not used again while the restored copy lists it`, async () => {
    const left = await addServer('i-left');
    const copy = fixture.store.copy();
    writeSinceCopy();
    if (manner === 'after draining') await leave('i-left', left);
    fixture.store.remove(TABLES.servers, 'i-left');
    await timers.advanceUntil(() => !isListed('i-left'));
    await restore(copy);
    await pass(3 * 1_200);
    assert.ok(!isListed('i-left'));
    fixture.store.remove(TABLES.servers, 'i-left');
    await pass(SETTLED_MS);
    assert.ok(!isListed('i-left'));
  });
}

test('a server whose row had expired is used again if its row is still there after the expiry time', async () => {
  await addServer('i-back');
  const copy = fixture.store.copy();
  fixture.store.remove(TABLES.servers, 'i-back');
  await timers.advanceUntil(() => !isListed('i-back'));
  await restore(copy);
  await passWithin(SETTLED_MS, () => isListed('i-back'));
});

test('a server whose row had expired is used again at once when it writes after the restore', async () => {
  const back = await addServer('i-back');
  const copy = fixture.store.copy();
  fixture.store.remove(TABLES.servers, 'i-back');
  await timers.advanceUntil(() => !isListed('i-back'));
  await restore(copy);
  fixture.listServer('i-back', back, { sequence: 3 });
  await passWithin(1_000, () => isListed('i-back'));
});

// Otherwise servers that joined after the copy count as removed until they have written their rows again.
test('a server that joined after the copy stays in use until it has written its row again', async () => {
  const copy = fixture.store.copy();
  const added = await addServer('i-new');
  writeSinceCopy();
  await restore(copy);
  await pass(2_000);
  fixture.listServer('i-new', added, { sequence: 2 });
  await pass(SETTLED_MS);
  assert.ok(isListed('i-new'));
  assert.ok(!isLogged(GATEWAY_EVENTS.serverRemoved, 'i-new'));
});

test('a server that joined after the copy and does not write again is removed after some seconds', async () => {
  const copy = fixture.store.copy();
  await addServer('i-gone');
  writeSinceCopy();
  await restore(copy);
  await passWithin(4_000, () => !isListed('i-gone'));
});

test('a second restore from a copy is handled like the first', async () => {
  const leaving = await addServer('i-leaving');
  const copy = fixture.store.copy();
  writeSinceCopy();
  await leave('i-leaving', leaving);
  await restore(copy);
  await pass(700);
  fixture.store.restore(copy);
  await pass(SETTLED_MS);
  const eras = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.storeEraRaised);
  assert.deepEqual(new Set(eras.map(({ fields }) => fields.era)), new Set([1, 2]));
  assert.equal(stateOf('i-leaving'), 'draining');
});
