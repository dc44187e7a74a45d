/** Guards against a daemon that callers' connections leave without a descriptor for readiness, the store and servers. */
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { CONFIGURATION } from './support/real-configuration.js';
import { answer, RealGateway } from './support/real-gateway.js';

const WAIT_MS = 10_000;
/** Of these, 200 are for files. */
const DESCRIPTORS = 320;
const CONNECTIONS = 400;
/** Fewer than the descriptors for sockets; the other ones are enough for the store, readiness and a request. */
const IDLE_CONNECTIONS = 90;
/** More than the system buffers for a connection whose caller does not read. */
const LARGE_BYTES = 12_000_000;
/** In the log lines of these events. */
const REQUEST_ENDED = '"event":6030';
const CONNECTIONS_DROPPED = '"event":6232';

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(): Promise<RealGateway> {
  gateway = new RealGateway({ descriptors: DESCRIPTORS });
  await gateway.start();
  return gateway;
}

/** As callers do, connects again where the daemon closed the connection at once. */
async function assertServes(to: RealGateway): Promise<void> {
  to.serve = answer;
  let again = to.send({});
  await to.waitUntil(() => {
    if (again.socket.destroyed && again.status === undefined) again = to.send({});
    return again.status !== undefined;
  }, WAIT_MS);
  assert.equal(to.end, undefined, to.output.slice(-2_000));
  assert.equal(again.status, 200);
}

test('a daemon with more connections than descriptors stays ready and follows the configuration', async () => {
  const to = await startGateway();
  const sockets = to.connect(CONNECTIONS);
  await to.waitUntil(() => sockets.some(({ destroyed }) => destroyed), WAIT_MS);
  await to.waitUntil(() => sockets.every(({ connecting }) => !connecting), WAIT_MS);
  assert.equal(await to.isReady(), true);
  to.store.put(TABLES.operator, TABLES.configurationKey, { ...CONFIGURATION, version: 2 });
  const version = () => to.metric('threadfork_gateway_configuration_version');
  await to.waitUntil(async () => (await version()) === 2, WAIT_MS);
  await to.waitUntil(() => to.output.includes(CONNECTIONS_DROPPED), WAIT_MS);
  for (const socket of sockets) socket.destroy();
  await assertServes(to);
});

test('requests beyond the descriptors are rejected with a promise, and the others served', async () => {
  const to = await startGateway();
  const held: (() => void)[] = [];
  to.serve = (request, response) => held.push(() => answer(request, response));
  const sent = Array.from({ length: CONNECTIONS }, () => to.send({}));
  const isTaken = () =>
    sent.every(({ socket, status }) => socket.destroyed || status !== undefined) ||
    held.length + sent.filter((one) => one.socket.destroyed || one.status !== undefined).length >=
      sent.length;
  await to.waitUntil(isTaken, WAIT_MS);
  const rejected = sent.filter(({ status }) => status !== undefined);
  assert.ok(held.length > 0, 'none was sent to the server');
  assert.ok(rejected.length > 0, 'none was rejected with an answer');
  for (const { status, saysWhenToReturn } of rejected) {
    assert.deepEqual({ status, saysWhenToReturn }, { status: 503, saysWhenToReturn: true });
  }
  assert.equal(await to.isReady(), true);
  for (const release of held) release();
  const served = () => sent.filter(({ status }) => status === 200).length;
  await to.waitUntil(() => served() === held.length, WAIT_MS);
  to.leave();
  await assertServes(to);
});

test('a caller that connects is served while the connections of others are idle', async () => {
  const to = await startGateway();
  to.serve = answer;
  for (let sent = 0; sent < IDLE_CONNECTIONS; sent += 1) {
    const one = to.send({});
    await to.waitUntil(() => one.status !== undefined || one.socket.destroyed, WAIT_MS);
    assert.equal(one.status, 200, `connection ${sent}`);
  }
});

// An answer counts as ended for node:http once it is written, while most of it may still be in the process.
test('an answer that its caller reads late arrives whole though idle connections are closed for new ones', async () => {
  const to = await startGateway();
  to.serve = (request, response) => {
    if (request.url !== '/web/large') return answer(request, response);
    const headers = { 'X-Attempt-Id': request.headers['x-attempt-id'], 'X-Response-Stamp': 's' };
    response.writeHead(200, headers).end(Buffer.alloc(LARGE_BYTES));
  };
  const large = to.send({ path: '/web/large' });
  large.socket.pause();
  await to.waitUntil(() => to.output.includes(REQUEST_ENDED), WAIT_MS);
  for (let sent = 0; sent < IDLE_CONNECTIONS; sent += 1) {
    const one = to.send({});
    await to.waitUntil(() => one.status !== undefined || one.socket.destroyed, WAIT_MS);
  }
  large.socket.resume();
  await to.waitUntil(() => large.receivedLength > LARGE_BYTES || large.socket.destroyed, WAIT_MS);
  assert.ok(large.receivedLength > LARGE_BYTES, `${large.receivedLength} bytes`);
});
