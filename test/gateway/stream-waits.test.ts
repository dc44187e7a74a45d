/**
 * Guards against streams that are rejected although an engine of their software version is about to take them: one that
 * changes its stage, or one that is full for a moment.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PATHS } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { rejectingAsNotExecuted, type ServerStandIn } from './support/server-stand-in.js';
import { type OpenStream, VersionedFleet, versionsIn } from './support/versioned-fleet.js';

const ENGINES = { a1: 'v1', b1: 'v2', b2: 'v2' };
const BEFORE_STOP_MS = 300;
const AT_ONCE_MS = 300;
/** Half of the time-out of the route: a stream that can't be served does not wait for its deadline. */
const MAX_WAIT_MS = 2_500;
/** Rejections that an engine which is full for a moment sends. */
const REJECTIONS = 2;

let fleet: VersionedFleet;

beforeEach(() => {
  fleet = new VersionedFleet();
});

afterEach(() => fleet.stop());

/** A stream of the first version whose caller has lost its connection. */
async function brokenStream(): Promise<OpenStream> {
  fleet.setBeginning(ENGINES, 'stays open');
  for (;;) {
    const [stream] = await fleet.openStreams(1, fleet.ports[0]);
    stream?.sent.destroy();
    if (stream !== undefined && versionsIn(stream.body)[0] === 'v1') return stream;
  }
}

/** Lets an engine report its stage and accept the order to change it, which is done at once. */
function acceptOrders(server: ServerStandIn): void {
  const { script } = server;
  let stage = 'prefill';
  server.script = (served) => {
    const { seen, response } = served;
    if (seen.url === PATHS.order) {
      stage = 'decode';
      response.writeHead(202).end();
    } else if (seen.url === PATHS.report) {
      response.writeHead(200).end(JSON.stringify({ stage, busy: false, sequence: 1, running: 0 }));
    } else script(served);
  };
}

/** @param isOrderable whether the prefill engine of the same version accepts orders */
async function loseOnlyDecodeEngine(isOrderable: boolean): Promise<void> {
  await fleet.addEngines({ p1: 'v1' }, 'whole', { stage: 'prefill' });
  const server = fleet.servers.get('p1');
  if (isOrderable && server !== undefined) acceptOrders(server);
  fleet.servers.get('a1')?.stop();
  await fleet.remove('a1');
}

test('a stream whose version has lost its decode engine waits until a prefill engine has taken its place', async () => {
  await fleet.start(2, ENGINES);
  const stream = await brokenStream();
  await loseOnlyDecodeEngine(true);
  const answer = await fleet.resume(stream, fleet.ports[1]);
  assert.equal(answer.status, 200, answer.body);
  assert.deepEqual(versionsIn(answer.body), ['v1']);
});

test('a stream whose only engine is full for a moment waits for it', async () => {
  await fleet.start(2, ENGINES);
  const stream = await brokenStream();
  const server = fleet.servers.get('a1');
  assert.ok(server);
  const { script } = server;
  let rejected = 0;
  server.script = (served) => {
    rejected += 1;
    if (rejected > REJECTIONS) fleet.setBeginning({ a1: 'v1' }, 'whole');
    return rejected > REJECTIONS ? script(served) : rejectingAsNotExecuted(served);
  };
  const answer = await fleet.resume(stream, fleet.ports[1]);
  assert.equal(answer.status, 200, answer.body);
  assert.deepEqual(versionsIn(answer.body), ['v1']);
});

test('a stream whose version gets no decode engine is rejected before its deadline', async () => {
  await fleet.start(2, ENGINES);
  const stream = await brokenStream();
  await loseOnlyDecodeEngine(false);
  const startMs = fleet.timers.nowMs();
  const answer = await fleet.resume(stream, fleet.ports[1]);
  assert.equal(answer.status, 503, answer.body);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  const waitedMs = fleet.timers.nowMs() - startMs;
  assert.ok(waitedMs <= MAX_WAIT_MS, `${waitedMs} ms`);
});

test('a daemon that stops rejects the streams that wait for an engine', async () => {
  await fleet.start(2, ENGINES);
  const stream = await brokenStream();
  await loseOnlyDecodeEngine(false);
  const resumption = fleet.resume(stream, fleet.ports[1]);
  await fleet.timers.advanceUntil(() => fleet.linesOf(GATEWAY_EVENTS.streamResumption).length > 0);
  await fleet.timers.advanceBy(BEFORE_STOP_MS);
  void fleet.fixture.stopDaemon('front-2');
  const startMs = fleet.timers.nowMs();
  const answer = await resumption;
  assert.equal(answer.status, 503, answer.body);
  assert.ok(fleet.timers.nowMs() - startMs <= AT_ONCE_MS);
  assert.equal(fleet.linesOf(GATEWAY_EVENTS.streamWaited).length, 1);
});
