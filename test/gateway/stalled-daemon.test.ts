/**
 * Guards against requests that a daemon which stood still sends to a server of whose departure it has not read yet: they
 * wait in its sockets, and are read before what others told it meanwhile.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { type CallerAnswer, route } from './support/fixture.js';
import { answering } from './support/server-stand-in.js';
import { VersionedFleet } from './support/versioned-fleet.js';

const LEAVES = 'viewer-1';
const STAYS = 'viewer-2';
const REQUESTS = 8;
/** Longer than the drain time of the fixture's settings. */
const STALL_MS = 3_000;
const RESTLESS_MS = 150;
const TURNS = 40;

let fleet: VersionedFleet;

beforeEach(async () => {
  fleet = new VersionedFleet();
  await fleet.start(1, { a1: 'v1' });
  fleet.configure([route({})]);
  for (const id of [LEAVES, STAYS]) {
    fleet.servers.set(id, await fleet.fixture.addServer(id, answering(200, id)));
    await fleet.untilKnown(id);
  }
});

afterEach(() => fleet.stop());

/** Requests that wait in the daemon's sockets as it goes on; no timer fires before they are read. */
async function callAfterStall(): Promise<readonly CallerAnswer[]> {
  fleet.timers.stall(STALL_MS);
  const answers = Array.from({ length: REQUESTS }, () =>
    fleet.fixture.call({
      path: '/tiles/1',
      port: fleet.ports[0],
      headers: { 'X-Attempt-Id': fleet.nextId() },
    }),
  );
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  let received: readonly CallerAnswer[] | undefined;
  void Promise.all(answers).then((all) => {
    received = all;
  });
  await fleet.timers.advanceUntil(() => received !== undefined);
  return received ?? [];
}

const DEPARTURES = [
  ['drains', () => fleet.fixture.listServer(LEAVES, server(LEAVES), { state: 'draining' })],
  ['is gone', () => fleet.fixture.store.remove(TABLES.servers, LEAVES)],
] as const;

function server(id: string) {
  const found = fleet.servers.get(id);
  assert.ok(found);
  return found;
}

for (const [what, depart] of DEPARTURES) {
  test(`a daemon that stood still sends nothing to a server that ${what} since, and serves the requests elsewhere`, async () => {
    fleet.keepListChanging(RESTLESS_MS);
    await fleet.untilListIsRead();
    depart();
    const answers = await callAfterStall();
    assert.equal(fleet.requestsAt(LEAVES).length, 0);
    assert.deepEqual(
      answers.map(({ status, body }) => `${status} ${body}`),
      answers.map(() => `200 ${STAYS}`),
    );
  });
}

test('a daemon that stood still serves the requests also while the store refuses its calls', async () => {
  fleet.fixture.store.fault = 'refuse';
  const answers = await callAfterStall();
  assert.equal(answers.length, REQUESTS);
  assert.ok(answers.every(({ status }) => status === 200));
});
