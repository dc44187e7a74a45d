/**
 * Guards against streams of two versions where a server of another version has taken over the address of one that a daemon
 * still lists, as it is cut off from the store.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { StoreEntrance } from './support/store-stand-in.js';
import { eventsIn, VersionedFleet, versionsIn, WHOLE_STREAM } from './support/versioned-fleet.js';

const STREAMS = 12;
const SERVERS = { a1: 'v1', a2: 'v1' };

let fleet: VersionedFleet;
let entrance: StoreEntrance;

beforeEach(async () => {
  fleet = new VersionedFleet();
  entrance = await fleet.fixture.store.addEntrance();
});

afterEach(() => fleet.stop());

/** The first daemon does not read of it in the store. */
function takeAddressOver(): void {
  entrance.fault = 'refuse';
  fleet.takeOver('a1', 'c1', 'v2', 'stays open');
}

test('a stream that is taken up where its server has lost its address to another version goes on at its own', async () => {
  await fleet.start(1, SERVERS, { entrance });
  fleet.setBeginning(SERVERS, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[0]);
  for (const { sent } of streams) sent.destroy();
  takeAddressOver();
  for (const stream of streams) {
    const answer = await fleet.resume(stream, fleet.ports[0]);
    assert.equal(answer.status, 200, answer.body);
    assert.deepEqual(versionsIn(stream.body + answer.body), ['v1']);
    assert.equal(eventsIn(stream.body + answer.body), WHOLE_STREAM);
  }
});

test('a stream that began at the version which took the address over does not go on at another version', async () => {
  await fleet.start(3, SERVERS, { entrance });
  takeAddressOver();
  const knowing = () =>
    fleet.linesOf(GATEWAY_EVENTS.serverAdded).filter(({ fields }) => fields.server === 'c1').length;
  await fleet.timers.advanceUntil(() => knowing() === 2);
  fleet.setBeginning({ a2: 'v1' }, 'stays open');
  const streams = await fleet.openStreams(STREAMS, fleet.ports[1]);
  for (const { sent } of streams) sent.destroy();
  assert.ok(streams.some(({ body }) => versionsIn(body)[0] === 'v2'));
  for (const stream of streams) {
    const answer = await fleet.resume(stream, fleet.ports[0]);
    if (answer.status !== 200) assert.equal(answer.status, 503, answer.body);
    else assert.equal(versionsIn(stream.body + answer.body).length, 1, answer.body);
  }
});
