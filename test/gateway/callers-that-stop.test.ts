/** Guards against callers that stop in the middle of what they send: they are refused, and others are served. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { RESOURCE_EVENTS } from '../../src/core/logging/catalogue/resources.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering, type ServerStandIn } from './support/server-stand-in.js';

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 500,
  idleTimeoutMs: 1_000,
};
/** More than the system buffers for a caller that does not read. */
const LARGE_ANSWER_BYTES = 15_000_000;
/** After each read of 64 KB; all pauses together last several times the idle time-out. */
const PAUSE_MS = 20;
const HEAD = 'POST /tiles/1 HTTP/1.1\r\nHost: labels.example\r\nX-Attempt-Id: attempt-1\r\n';

let fixture: GatewayFixture;
let server: ServerStandIn;
let callers: Socket[];

beforeEach(async () => {
  callers = [];
  fixture = new GatewayFixture();
  await fixture.start();
  const content = configuration(1, [route({ timeoutMs: 10_000 })]) as Record<string, unknown>;
  fixture.store.putConfiguration({ ...content, limits: LIMITS });
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
  server = await fixture.addServer('i-1', answering(200, 'served'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
});

afterEach(() => {
  for (const caller of callers) caller.destroy();
  fixture.stop();
});

function open(): Socket {
  const caller = connect(fixture.callersPort, '127.0.0.1');
  callers.push(caller);
  return caller;
}

/** Everything that the caller receives until its connection is closed. */
async function received(caller: Socket): Promise<string> {
  let text = '';
  caller.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  caller.on('error', () => undefined);
  caller.resume();
  await once(caller, 'close');
  return text;
}

for (const [what, framing, begun] of [
  ['of a declared length', 'Content-Length: 900\r\n\r\n', 'x'],
  ['in chunks', 'Transfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'],
] as const) {
  test(`a body ${what} that stops gets 408 and is not run, and its connection is closed`, async () => {
    const caller = open();
    caller.write(`${HEAD}${framing}${begun}`);
    const text = await received(caller);
    assert.match(text, /^HTTP\/1\.1 408 /);
    assert.match(text, /\r\nConnection: close\r\n/i);
    assert.equal(server.seen.length, 0);
    await fixture.logged(
      RESOURCE_EVENTS.bodiesTimedOut,
      ({ callers: count, heldBytes }) => count === 1 && Number(heldBytes) > 0,
    );
  });
}

test('a body whose pauses are below the idle time-out is served', async () => {
  const caller = open();
  caller.write(`${HEAD}Connection: close\r\nContent-Length: 4\r\n\r\n`);
  const answered = received(caller);
  for (let byte = 0; byte < 4; byte += 1) {
    await new Promise((resolve) => setTimeout(resolve, LIMITS.idleTimeoutMs / 2));
    caller.write('x');
  }
  assert.match(await answered, /^HTTP\/1\.1 200 /);
});

test('a head that stops gets 408, and its connection is closed', async () => {
  const caller = open();
  caller.write(HEAD);
  assert.match(await received(caller), /^HTTP\/1\.1 408 /);
  await fixture.logged(RESOURCE_EVENTS.headsRefused, ({ reason }) => reason === 'head-timed-out');
});

test('no status that promises that nothing ran is sent while an earlier request is running', async () => {
  server.script = () => undefined;
  const caller = open();
  caller.write(`${HEAD}Content-Length: 0\r\n\r\n${HEAD}`);
  assert.equal(await received(caller), '');
  assert.equal(server.seen.length, 1);
});

test('a head beyond the limit of headers gets 431 before it is complete', async () => {
  const caller = open();
  caller.write(`${HEAD}X-Long: ${'x'.repeat(60_000)}`);
  assert.match(await received(caller), /^HTTP\/1\.1 431 /);
  await fixture.logged(RESOURCE_EVENTS.headsRefused, ({ reason }) => reason === 'head-too-large');
});

test('a malformed head gets 400, and its connection is closed', async () => {
  const caller = open();
  caller.write('POST /tiles/1 HTTP/1.1\r\nHost labels.example\r\n\r\n');
  assert.match(await received(caller), /^HTTP\/1\.1 400 /);
});

test('a malformed body gets 400 and is not run', async () => {
  const caller = open();
  caller.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\nno length\r\n`);
  assert.match(await received(caller), /^HTTP\/1\.1 400 /);
  assert.equal(server.seen.length, 0);
});

test('an answer that its caller does not read for the idle time-out is given up, and looks truncated', async () => {
  server.script = answering(200, 'x'.repeat(LARGE_ANSWER_BYTES));
  const caller = open();
  caller.pause();
  caller.write(`${HEAD}Content-Length: 0\r\n\r\n`);
  await fixture.logged(RESOURCE_EVENTS.answersUnread, ({ heldBytes }) => Number(heldBytes) > 0);
  const text = await received(caller);
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.ok(text.length < LARGE_ANSWER_BYTES);
});

test('an answer that its caller takes with pauses below the idle time-out arrives whole', async () => {
  server.script = answering(200, 'x'.repeat(LARGE_ANSWER_BYTES));
  const caller = open();
  caller.write(`${HEAD}Content-Length: 0\r\nConnection: close\r\n\r\n`);
  let taken = 0;
  caller.on('data', (chunk: Buffer) => {
    taken += chunk.length;
    caller.pause();
    setTimeout(() => caller.resume(), PAUSE_MS);
  });
  await once(caller, 'close');
  assert.ok(taken > LARGE_ANSWER_BYTES, `${taken} bytes`);
});
