/**
 * Guards against streams that go on at another software version than the one that began them, in one answer or over the
 * attempts of a caller, and against streams that are lost although servers of their version serve.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { LONG_REQUEST } from './support/fixture.js';
import { ServerLinks } from './support/server-links.js';
import { stamped } from './support/server-stand-in.js';
import {
  eventsIn,
  type OpenStream,
  VersionedFleet,
  versionsIn,
  WHOLE_STREAM,
} from './support/versioned-fleet.js';

const THREE_OF_EACH = { a1: 'v1', a2: 'v1', a3: 'v1', b1: 'v2', b2: 'v2', b3: 'v2' };
/** Enough that a free choice between two versions would mix them. */
const STREAMS = 24;
/** No stream of the fixture's routes lives longer. */
const LONGER_THAN_ANY_STREAM_MS = 30_000;
/** Of the drain time in the fixture's settings. */
const HALF_OF_DRAIN_MS = 1_000;
/** What can't be served is rejected at once, well before any deadline. */
const AT_ONCE_MS = 300;

let fleet: VersionedFleet;

beforeEach(() => {
  fleet = new VersionedFleet();
});

afterEach(() => fleet.stop());

/** Takes streams up at the given daemons in turn; each has to go on at its own version to its end. */
async function assertAllGoOn(
  streams: readonly Pick<OpenStream, 'id' | 'body'>[],
  ports: readonly (number | undefined)[],
): Promise<void> {
  for (const [index, stream] of streams.entries()) {
    const answer = await fleet.resume(stream, ports[index % ports.length]);
    assert.equal(answer.status, 200, `${stream.id}: ${answer.body}`);
    const whole = stream.body + answer.body;
    assert.deepEqual(versionsIn(whole).length, 1, `${stream.id}: ${whole}`);
    assert.equal(eventsIn(whole), WHOLE_STREAM);
  }
}

test('a stream that breaks goes on in its answer at a server of the version that began it', async () => {
  await fleet.start(1, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'breaks off');
  for (let sent = 0; sent < STREAMS; sent += 1) {
    const answer = await fleet.call({});
    assert.equal(versionsIn(answer.body).length, 1, answer.body);
    assert.equal(eventsIn(answer.body), WHOLE_STREAM);
    assert.equal(answer.isComplete, true);
  }
});

test('a stream that arrives in one piece reaches its caller whole while its version is recorded', async () => {
  await fleet.start(3, THREE_OF_EACH);
  const events = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: v1\n\n`).join('');
  for (const server of fleet.servers.values()) {
    server.script = ({ seen, response }) => response.writeHead(200, stamped(seen)).end(events);
  }
  for (let sent = 0; sent < STREAMS; sent += 1) {
    const answer = await fleet.call({ port: fleet.ports[sent % fleet.ports.length] });
    assert.equal(answer.body, events);
    assert.equal(answer.isComplete, true);
  }
});

test('a stream whose version has no other server is cut off, not continued at a version that has joined', async () => {
  await fleet.start(1, { a1: 'v1' });
  fleet.setBeginning({ a1: 'v1' }, 'stays open');
  const [stream] = await fleet.openStreams(1, fleet.ports[0]);
  await fleet.addEngines({ b1: 'v2', b2: 'v2', b3: 'v2' }, 'whole');
  fleet.servers.get('a1')?.stop();
  let isClosed = false;
  stream?.sent.once('close', () => {
    isClosed = true;
  });
  await fleet.timers.advanceUntil(() => isClosed);
  for (const id of ['b1', 'b2', 'b3']) assert.equal(fleet.requestsAt(id).length, 0, id);
});

test('a stream that its caller takes up goes on at its version, at the same daemon and at others', async () => {
  await fleet.start(3, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  await assertAllGoOn(streams, fleet.ports);
});

test('a stream that is taken up twice goes on at its version at a third daemon', async () => {
  await fleet.start(3, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  await assertAllGoOn(streams, [fleet.ports[1]]);
  await assertAllGoOn(streams, [fleet.ports[2]]);
});

test('streams go on at their version after the daemon that began them has died', async () => {
  await fleet.start(4, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  fleet.abortDaemon(0);
  await assertAllGoOn(streams, fleet.ports.slice(1));
});

test('streams that began before a second version joined go on at theirs after their daemon has died', async () => {
  await fleet.start(4, { a1: 'v1', a2: 'v1' });
  await fleet.timers.advanceBy(LONGER_THAN_ANY_STREAM_MS);
  fleet.setBeginning({ a1: 'v1', a2: 'v1' }, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  await fleet.addEngines({ b1: 'v2', b2: 'v2', b3: 'v2' }, 'whole');
  fleet.abortDaemon(0);
  await assertAllGoOn(streams, fleet.ports.slice(1));
});

test('a stream whose version has no server left is rejected at once, as not run', async () => {
  await fleet.start(2, { a1: 'v1', b1: 'v2', b2: 'v2' });
  fleet.setBeginning({ b1: 'v2', b2: 'v2' }, 'rejects resumptions');
  fleet.setBeginning({ a1: 'v1' }, 'stays open');
  const streams: OpenStream[] = [];
  while (!streams.some(({ body }) => versionsIn(body)[0] === 'v1')) {
    fleet.setBeginning({ b1: 'v2', b2: 'v2' }, 'stays open');
    streams.push(...(await fleet.openStreams(1, fleet.ports[0])));
  }
  const stream = streams.find(({ body }) => versionsIn(body)[0] === 'v1');
  assert.ok(stream);
  fleet.servers.get('a1')?.stop();
  await fleet.remove('a1');
  const startMs = fleet.timers.nowMs();
  const answer = await fleet.resume(stream, fleet.ports[1]);
  assert.equal(answer.status, 503, answer.body);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.ok(fleet.timers.nowMs() - startMs <= AT_ONCE_MS);
});

test('a stream goes on at a draining server of its version, but not after half of the drain time', async () => {
  await fleet.start(2, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  const ofFirst = streams.filter(({ body }) => versionsIn(body)[0] === 'v1');
  assert.ok(ofFirst.length > 1);
  await fleet.drain({ a1: 'v1', a2: 'v1', a3: 'v1' });
  const [early, ...others] = ofFirst;
  await assertAllGoOn(early === undefined ? [] : [early], [fleet.ports[1]]);
  await fleet.timers.advanceBy(HALF_OF_DRAIN_MS);
  for (const stream of others) {
    assert.equal((await fleet.resume(stream, fleet.ports[1])).status, 503);
  }
});

test('a stream goes on at a crowded server of its version, whatever new streams may expect there', async () => {
  await fleet.start(2, THREE_OF_EACH);
  fleet.setBeginning(THREE_OF_EACH, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  for (const id of ['a2', 'a3']) await fleet.remove(id);
  const held = await fleet.openStreams(3 * STREAMS, fleet.ports[1]);
  const ofFirst = streams.filter(({ body }) => versionsIn(body)[0] === 'v1');
  await assertAllGoOn(ofFirst, [fleet.ports[1]]);
  for (const { sent } of held) sent.destroy();
});

for (const [what, id] of [
  ['that no daemon knows', { Resumes: 'never-seen' }],
  ['that its caller does not name', {}],
] as const) {
  test(`a stream ${what} is rejected at once while two versions serve`, async () => {
    await fleet.start(3, THREE_OF_EACH);
    const startMs = fleet.timers.nowMs();
    const answer = await fleet.call({ headers: { ...id, 'Last-Event-Id': '2' } });
    assert.equal(answer.status, 503, answer.body);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(fleet.timers.nowMs() - startMs <= AT_ONCE_MS);
  });
}

test('a stream goes on at its version where the daemon that its caller comes to is cut off from the servers', async () => {
  const links = new ServerLinks();
  try {
    await fleet.start(3, THREE_OF_EACH, { links });
    fleet.setBeginning(THREE_OF_EACH, 'stays open');
    const streams = await fleet.openStreams(STREAMS, fleet.ports[1]);
    for (const { sent } of streams) sent.destroy();
    links.cut('all connections are reset');
    while (fleet.linesOf(GATEWAY_EVENTS.pathLost).length === 0) await fleet.call({});
    await assertAllGoOn(streams, [fleet.ports[0]]);
  } finally {
    links.stop();
  }
});

test('a daemon that hears of no other one takes no stream up at a guess, and sends its caller elsewhere', async () => {
  await fleet.start(3, { a1: 'v1', a2: 'v1' });
  await fleet.timers.advanceBy(LONGER_THAN_ANY_STREAM_MS);
  fleet.abortDaemon(1);
  fleet.abortDaemon(2);
  const startMs = fleet.timers.nowMs();
  const answer = await fleet.call({ headers: { Resumes: 'old', 'Last-Event-Id': '2' } });
  assert.equal(answer.status, 503, answer.body);
  assert.ok(Number(answer.headers['retry-after']) < 1);
  assert.ok(fleet.timers.nowMs() - startMs <= AT_ONCE_MS);
});

test('a stream that no daemon knows goes on where one version has served for longer than any stream lives', async () => {
  await fleet.start(3, { a1: 'v1', a2: 'v1' });
  await fleet.timers.advanceBy(LONGER_THAN_ANY_STREAM_MS);
  const answer = await fleet.call({ headers: { Resumes: 'old', 'Last-Event-Id': '2' } });
  assert.equal(answer.status, 200, answer.body);
  assert.deepEqual(versionsIn(answer.body), ['v1']);
});

test('streams of a fleet of one version cost no messages between daemons', async () => {
  await fleet.start(3, { a1: 'v1', a2: 'v1' });
  await fleet.timers.advanceBy(LONGER_THAN_ANY_STREAM_MS);
  for (let sent = 0; sent < STREAMS; sent += 1) await fleet.call({});
  assert.equal(fleet.linesOf(GATEWAY_EVENTS.streamRecorded).length, 0);
  await fleet.addEngines({ b1: 'v2' }, 'whole');
  await fleet.call({});
  await fleet.timers.advanceUntil(() => fleet.linesOf(GATEWAY_EVENTS.streamRecorded).length === 1);
});

test('a daemon that has just started goes on with a stream where its peers have long known one version', async () => {
  await fleet.start(3, { a1: 'v1', a2: 'v1' });
  await fleet.timers.advanceBy(LONGER_THAN_ANY_STREAM_MS);
  const port = await fleet.addDaemon();
  await fleet.untilKnown('a1');
  await fleet.untilDaemonsKnow(1, 4);
  const answer = await fleet.call({ port, headers: { Resumes: 'old', 'Last-Event-Id': '2' } });
  assert.equal(answer.status, 200, answer.body);
});

test('a stream that no daemon knows is rejected where another version has left less than the life of a stream ago', async () => {
  await fleet.start(3, { a1: 'v1', a2: 'v1', b1: 'v2' });
  await fleet.remove('b1');
  const answer = await fleet.call({ headers: { Resumes: 'old', 'Last-Event-Id': '2' } });
  assert.equal(answer.status, 503, answer.body);
});

test('a server that starts again under its id with another software does not go on with its streams', async () => {
  await fleet.start(1, { a1: 'v1', b1: 'v2' });
  fleet.setBeginning({ a1: 'v1', b1: 'v2' }, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  await fleet.relist('a1', 'v2');
  const ofFirst = streams.filter(({ body }) => versionsIn(body)[0] === 'v1');
  assert.ok(ofFirst.length > 0);
  for (const stream of ofFirst) {
    const answer = await fleet.resume(stream, fleet.ports[0]);
    assert.equal(answer.status, 503, answer.body);
  }
});

test('a prompt is read and decoded at one version, whose memory another does not take over', async () => {
  await fleet.start(1, {});
  await fleet.addEngines({ p1: 'v1' }, 'whole', { stage: 'prefill' });
  await fleet.addEngines({ d1: 'v2', d2: 'v2', d3: 'v2', d4: 'v1' }, 'whole');
  for (let sent = 0; sent < STREAMS; sent += 1) await fleet.call(LONG_REQUEST);
  const handedOver = ['d1', 'd2', 'd3', 'd4'].filter((id) =>
    fleet.requestsAt(id).some(({ headers }) => headers['x-kv-source'] !== undefined),
  );
  assert.deepEqual(handedOver, ['d4']);
});
