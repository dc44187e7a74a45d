/**
 * Guards against requests that reach a server later than its drain time after the store acknowledged that it drains or is
 * gone.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { route } from './support/fixture.js';
import { answering } from './support/server-stand-in.js';
import type { StoreEntrance } from './support/store-stand-in.js';
import { type OpenStream, VersionedFleet, versionsIn } from './support/versioned-fleet.js';

/** Of the fixture's settings. */
const DRAIN_MS = 2_000;
const RESTLESS_MS = 150;
const CALL_MS = 50;
/** Long enough to see requests that come after the drain time. */
const WATCHED_MS = 2 * DRAIN_MS;
const AWAY_MS = 2_800;
const AWAY_AGAIN_MS = 1_500;
const GONE_AFTER_RETURN_MS = 700;

let fleet: VersionedFleet;

beforeEach(() => {
  fleet = new VersionedFleet();
});

afterEach(() => fleet.stop());

/** Calls in turn at the daemons for a time. @returns when the last request reached the server, from now */
async function lastArrivalMs(
  id: string,
  call: (port: number | undefined) => Promise<unknown>,
): Promise<number> {
  const sinceMs = fleet.timers.nowMs();
  let lastMs = 0;
  const received = () => fleet.requestsAt(id).length;
  let seen = received();
  for (let turn = 0; fleet.timers.nowMs() < sinceMs + WATCHED_MS; turn += 1) {
    await call(fleet.ports[turn % fleet.ports.length]);
    if (received() > seen) lastMs = fleet.timers.nowMs() - sinceMs;
    seen = received();
    await fleet.timers.advanceBy(CALL_MS);
  }
  return lastMs;
}

/** Opens streams until there is one of a version. */
async function openStreamOf(version: string): Promise<OpenStream> {
  for (;;) {
    const streams = await fleet.openStreams(6, fleet.ports[0]);
    for (const { sent } of streams) sent.destroy();
    const stream = streams.find(({ body }) => versionsIn(body)[0] === version);
    if (stream !== undefined) return stream;
  }
}

/** How far the time of day of the daemons' machines steps, long before a server departs. */
const CLOCK_STEPS_MS = [0, 5_000, -5_000];

for (const stepMs of CLOCK_STEPS_MS) {
  const where = stepMs === 0 ? 'where' : `after the time of day was set by ${stepMs} ms, where`;
  test(`a stream is not resumed at a draining server later than its drain time, ${where} the list keeps changing`, async () => {
    const versions = { a1: 'v1', a2: 'v2', a3: 'v3' };
    await fleet.start(3, versions);
    fleet.setBeginning(versions, 'stays open');
    fleet.keepListChanging(RESTLESS_MS);
    fleet.fixture.clockStepMs = stepMs;
    await fleet.timers.advanceBy(DRAIN_MS);
    for (const [id, version] of Object.entries(versions).slice(1)) {
      const stream = await openStreamOf(version);
      await fleet.untilListIsRead();
      const server = fleet.servers.get(id);
      assert.ok(server);
      const fields = { service: 'reader', stage: 'decode', version, state: 'draining' };
      fleet.fixture.listServer(id, server, fields);
      const lastMs = await lastArrivalMs(id, (port) => fleet.resume(stream, port));
      assert.ok(lastMs > 0, `${id}: resumed there at first`);
      assert.ok(lastMs <= DRAIN_MS, `${id}: reached ${lastMs} ms after its drain was acknowledged`);
    }
  });
}

const VIEWER = 'viewer-1';

/** Lets time pass while a daemon's calls to the store are refused. */
async function refuseFor(entrance: StoreEntrance, spanMs: number): Promise<void> {
  entrance.fault = 'refuse';
  await fleet.timers.advanceBy(spanMs);
  entrance.fault = 'none';
}

for (const [again, stepMs] of [
  [0, 0],
  [1, 0],
  [2, 0],
  [2, 5_000],
] as const) {
  const when = stepMs === 0 ? '' : `, after the time of day was set by ${stepMs} ms`;
  test(`a server whose row goes is not used longer than its drain time by a daemon whose own calls failed (and ${again} times again)${when}`, async () => {
    const entrance = await fleet.fixture.store.addEntrance();
    await fleet.start(3, { a1: 'v1' }, { entrance });
    fleet.fixture.clockStepMs = stepMs;
    fleet.configure([route({})]);
    fleet.servers.set(VIEWER, await fleet.fixture.addServer(VIEWER, answering(200, 'tile')));
    await fleet.untilKnown(VIEWER);
    await refuseFor(entrance, AWAY_MS);
    await fleet.timers.advanceBy(GONE_AFTER_RETURN_MS);
    fleet.fixture.store.remove(TABLES.servers, VIEWER);
    const call = () => fleet.call({ path: '/tiles/1', port: fleet.ports[0] });
    const failures = Array.from({ length: again }, (_, index) => index);
    for (const index of failures) {
      const atMs = 300 + index * (AWAY_AGAIN_MS + 400);
      fleet.timers.after(atMs, () => {
        entrance.fault = 'refuse';
        fleet.timers.after(AWAY_AGAIN_MS, () => {
          entrance.fault = 'none';
        });
      });
    }
    const lastMs = await lastArrivalMs(VIEWER, call);
    assert.ok(lastMs <= DRAIN_MS, `reached ${lastMs} ms after its row went`);
    assert.ok(fleet.linesOf(GATEWAY_EVENTS.watchRegained).length > 0);
  });
}

const REFUSED_BRIEFLY_MS = 200;
const GONE_BEFORE_RETURN_MS = 500;

test('a server whose row goes is not used longer than its drain time by a daemon whose calls failed, where each other daemon had a call refused', async () => {
  const entrance = await fleet.fixture.store.addEntrance();
  await fleet.start(3, { a1: 'v1' }, { entrance });
  fleet.configure([route({})]);
  fleet.servers.set(VIEWER, await fleet.fixture.addServer(VIEWER, answering(200, 'tile')));
  await fleet.untilKnown(VIEWER);
  // Each change is read at once, so that a call of each daemon meets the refusal.
  fleet.keepListChanging(RESTLESS_MS);
  entrance.fault = 'refuse';
  await fleet.timers.advanceBy(AWAY_MS / 2);
  fleet.fixture.store.fault = 'refuse';
  await fleet.timers.advanceBy(REFUSED_BRIEFLY_MS);
  fleet.fixture.store.fault = 'none';
  await fleet.timers.advanceBy(AWAY_MS / 2);
  fleet.timers.after(GONE_BEFORE_RETURN_MS, () => {
    entrance.fault = 'none';
  });
  fleet.fixture.store.remove(TABLES.servers, VIEWER);
  const lastMs = await lastArrivalMs(VIEWER, () =>
    fleet.call({ path: '/tiles/1', port: fleet.ports[0] }),
  );
  assert.ok(lastMs <= DRAIN_MS, `reached ${lastMs} ms after its row went`);
  assert.ok(fleet.linesOf(GATEWAY_EVENTS.watchLost).length > 2, 'each had a call refused');
});

/** After three heartbeats without a write a row is gone. */
const HEARTBEATS_MS = 3_600;
/** While another server answers. */
const MAX_STALLED_SHARE = 0.1;

/** Sends a request every `CALL_MS` without waiting for the answers. @returns how many reached a server meanwhile */
async function sentMeanwhile(
  id: string,
  spanMs: number,
  callerHeaders: Record<string, string> = {},
): Promise<number> {
  const before = fleet.requestsAt(id).length;
  const endMs = fleet.timers.nowMs() + spanMs;
  for (let turn = 0; fleet.timers.nowMs() < endMs; turn += 1) {
    const port = fleet.ports[turn % fleet.ports.length];
    const headers = { 'X-Attempt-Id': fleet.nextId(), ...callerHeaders };
    const sent = fleet.fixture.open({ path: '/tiles/1', port, headers });
    sent.on('error', () => undefined);
    await fleet.timers.advanceBy(CALL_MS);
  }
  return fleet.requestsAt(id).length - before;
}

/** Of two web servers, the first has stopped answering. */
async function startWithStalledViewer(daemons: number): Promise<void> {
  await fleet.start(daemons, { a1: 'v1' });
  fleet.configure([route({})]);
  for (const id of ['viewer-1', 'viewer-2']) {
    fleet.servers.set(id, await fleet.fixture.addServer(id, answering(200, 'tile')));
    await fleet.untilKnown(id);
  }
  const stalled = fleet.servers.get('viewer-1');
  assert.ok(stalled);
  stalled.script = () => undefined;
}

/** Callers leave sooner than a server counts as broken. */
const SHORT_DEADLINE_MS = 600;
const DAEMONS = 9;
/** One request shows that the server has stopped answering, and one more tries it again. */
const MAX_LEFT_PER_DAEMON = 2;

test('a server that has stopped answering is left at most two requests by each daemon whose callers leave early', async () => {
  await startWithStalledViewer(DAEMONS);
  const headers = { 'X-Deadline-Ms': String(SHORT_DEADLINE_MS) };
  const left = await sentMeanwhile('viewer-1', HEARTBEATS_MS, headers);
  assert.ok(left <= DAEMONS * MAX_LEFT_PER_DAEMON, `${left} requests`);
});

test('a server that has stopped answering gets almost no requests, and none once its row has gone', async () => {
  await startWithStalledViewer(1);
  const listed = await sentMeanwhile('viewer-1', HEARTBEATS_MS);
  fleet.fixture.store.remove(TABLES.servers, 'viewer-1');
  await fleet.timers.advanceBy(CALL_MS);
  const afterwards = await sentMeanwhile('viewer-1', WATCHED_MS);
  assert.ok(listed <= MAX_STALLED_SHARE * (HEARTBEATS_MS / CALL_MS), `${listed} requests`);
  assert.equal(afterwards, 0);
});
