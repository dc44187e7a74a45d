/** Guards against requests to a server that has left and whose row a late write brings back. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { HEALTH_PATH, route } from './support/fixture.js';
import { answering, type Script } from './support/server-stand-in.js';
import { VersionedFleet } from './support/versioned-fleet.js';

/** Of the fixture's settings. */
const DRAIN_MS = 2_000;
const CALL_MS = 50;
const RETURNS_AFTER_MS = 600;
/** A row that its server does not renew is gone after three heartbeats. */
const LAPSES_AFTER_MS = 3_600;
const USED_AGAIN_WITHIN_MS = 600;
const LEAVING = 'viewer-1';
const STAYING = 'viewer-2';

let fleet: VersionedFleet;

beforeEach(async () => {
  fleet = new VersionedFleet();
  await fleet.start(3, { a1: 'v1' });
  fleet.configure([route({})]);
  for (const id of [LEAVING, STAYING]) {
    fleet.servers.set(id, await fleet.fixture.addServer(id, healthAnswering(id, 200)));
    await fleet.untilKnown(id);
  }
});

afterEach(() => fleet.stop());

/** A web server whose health page answers with a status; it serves requests whatever that is. */
function healthAnswering(id: string, status: number): Script {
  const serve = answering(200, 'tile');
  return (served) => {
    if (served.seen.url !== HEALTH_PATH) return serve(served);
    served.response.writeHead(status, { 'X-Instance-Id': id }).end();
  };
}

function daemonsThatList(id: string): number {
  const lines = fleet.linesOf(GATEWAY_EVENTS.serverAdded);
  return new Set(lines.filter(({ fields }) => fields.server === id).map(({ daemon }) => daemon))
    .size;
}

function list(fields: object): void {
  const server = fleet.servers.get(LEAVING);
  assert.ok(server);
  fleet.fixture.listServer(LEAVING, server, fields);
}

function requestsAtLeaving(): number {
  const seen = fleet.servers.get(LEAVING)?.seen ?? [];
  return seen.filter(({ url }) => url !== HEALTH_PATH).length;
}

/** Calls in turn at the daemons for a time. @returns when requests reached the server, from now */
async function arrivalsWithin(spanMs: number): Promise<readonly number[]> {
  const sinceMs = fleet.timers.nowMs();
  const arrivals: number[] = [];
  for (let turn = 0; fleet.timers.nowMs() < sinceMs + spanMs; turn += 1) {
    const before = requestsAtLeaving();
    await fleet.call({ path: '/tiles/1', port: fleet.ports[turn % fleet.ports.length] });
    if (requestsAtLeaving() > before) arrivals.push(fleet.timers.nowMs() - sinceMs);
    await fleet.timers.advanceBy(CALL_MS);
  }
  return arrivals;
}

const DEPARTURES = {
  'its row was gone': () => fleet.fixture.store.remove(TABLES.servers, LEAVING),
  'it said that it drains': () => list({ state: 'draining', sequence: 7 }),
  'it said that it drains and its row was gone': () => {
    list({ state: 'draining', sequence: 7 });
    fleet.timers.after(RETURNS_AFTER_MS / 2, () =>
      fleet.fixture.store.remove(TABLES.servers, LEAVING),
    );
  },
};

for (const [what, depart] of Object.entries(DEPARTURES)) {
  test(`a server that leaves gets no request after its drain time, where a late write lists it as ready after ${what}`, async () => {
    const server = fleet.servers.get(LEAVING);
    assert.ok(server);
    server.script = healthAnswering(LEAVING, 503);
    depart();
    fleet.timers.after(RETURNS_AFTER_MS, () => list({ sequence: 6 }));
    fleet.timers.after(RETURNS_AFTER_MS + LAPSES_AFTER_MS, () =>
      fleet.fixture.store.remove(TABLES.servers, LEAVING),
    );
    const arrivals = await arrivalsWithin(RETURNS_AFTER_MS + LAPSES_AFTER_MS + DRAIN_MS);
    const late = arrivals.filter((atMs) => atMs > DRAIN_MS);
    assert.deepEqual(late, []);
  });

  test(`a server that says that it accepts work is used again soon after it is listed anew, after ${what}`, async () => {
    depart();
    await fleet.timers.advanceBy(RETURNS_AFTER_MS);
    const sinceMs = fleet.timers.nowMs();
    list({ sequence: 8 });
    const confirmed = () =>
      fleet
        .linesOf(GATEWAY_EVENTS.confirmationEnded)
        .filter(({ fields }) => fields.outcome === 'confirmed');
    await fleet.timers.advanceUntil(() => confirmed().length >= fleet.ports.length);
    const tookMs = fleet.timers.nowMs() - sinceMs;
    assert.ok(tookMs <= USED_AGAIN_WITHIN_MS, `${tookMs} ms`);
    await fleet.remove(STAYING);
    for (const port of fleet.ports) {
      assert.equal((await fleet.call({ path: '/tiles/1', port })).status, 200);
    }
  });
}

for (const [when, hasJustChanged] of [
  ['', false],
  [', and its row had been read again just before', true],
] as const) {
  test(`a server that leaves gets no request after its drain time, where a late write lists it again before any daemon has read that its row was gone${when}`, async () => {
    const server = fleet.servers.get(LEAVING);
    assert.ok(server);
    if (hasJustChanged) {
      list({ sequence: 5 });
      await fleet.timers.advanceBy(2 * CALL_MS);
    }
    server.script = healthAnswering(LEAVING, 503);
    // Each daemon has just read this change, and reads the next ones together.
    const other = { service: 'viewer', address: '127.0.0.1:1', zone: 'a', slots: 6 };
    fleet.fixture.store.putServer('other', { ...other, state: 'draining', sequence: 1 });
    await fleet.timers.advanceUntil(() => daemonsThatList('other') === fleet.ports.length);
    fleet.fixture.store.remove(TABLES.servers, LEAVING);
    list({ sequence: 6 });
    const removed = fleet.linesOf(GATEWAY_EVENTS.serverRemoved).length;
    const arrivals = await arrivalsWithin(LAPSES_AFTER_MS);
    assert.equal(fleet.linesOf(GATEWAY_EVENTS.serverRemoved).length, removed, 'nobody reads that');
    assert.deepEqual(
      arrivals.filter((atMs) => atMs > DRAIN_MS),
      [],
    );
  });
}
