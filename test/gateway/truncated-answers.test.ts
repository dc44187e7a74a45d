/** An answer that a daemon cut as it ended its connections looked complete, as they were closed in the ordinary way. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { TimerService } from '../../src/shell/gateway/index.js';
import { configuration, GatewayFixture, READ_ROUTE } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { engine, rejectingAsNotExecuted, type Script, stamped } from './support/server-stand-in.js';

const FIRST = 'id: 1\ndata: piece 1\n\n';
const EVENT_STREAM = { 'Content-Type': 'text/event-stream' };

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function start(script: Script, timers?: TimerService): Promise<void> {
  await fixture.start(timers);
  // The cut has to come from the daemon and not from its time-out.
  const route = { ...READ_ROUTE, timeoutMs: 60_000 };
  fixture.store.putConfiguration(configuration(1, [route]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  await fixture.addServer('i-1', script, { service: 'reader', stage: 'decode' });
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
}

/** Answers with the first event of a stream in neither a length nor chunks, and leaves it open. */
const unframed: Script = (served) => {
  const { seen, socket } = served;
  if (seen.method !== 'POST') return rejectingAsNotExecuted(served);
  const headers = Object.entries({ ...stamped(seen), ...EVENT_STREAM });
  const head = ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`)];
  socket.write(`${head.join('\r\n')}\r\n\r\n${FIRST}`);
};

/** Answers with the first event of a stream in chunks, and leaves it open. */
const chunked: Script = (served) => {
  const { seen, response } = served;
  if (seen.method !== 'POST') return rejectingAsNotExecuted(served);
  response.writeHead(200, { ...stamped(seen), ...EVENT_STREAM });
  response.write(FIRST);
};

/** Sends a request and resolves once the first event of its answer has arrived. */
async function open(version: 'HTTP/1.0' | 'HTTP/1.1'): Promise<{ socket: Socket; head: string }> {
  const socket = connect(fixture.callersPort, '127.0.0.1');
  const head = ['Host: labels.example', 'X-Attempt-Id: a-1', 'X-Model: m', 'X-Token-Count: 30,4'];
  socket.write([`POST /read/1 ${version}`, ...head, 'Content-Length: 0', '', ''].join('\r\n'));
  let received = '';
  while (!received.includes(FIRST)) {
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    received += chunk.toString('latin1');
  }
  return { socket, head: received };
}

/** How a connection ends: `reset`, or the bytes that still came before an ordinary end. */
function endOf(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let rest = '';
    socket.on('data', (chunk: Buffer) => {
      rest += chunk.toString('latin1');
    });
    socket.once('error', () => resolve('reset'));
    socket.once('end', () => resolve(rest));
  });
}

// Guards against a truncated stream that nothing tells from a complete one.
for (const [what, script, version] of [
  ['a stream without length or chunks', unframed, 'HTTP/1.1'],
  ['a stream to a caller of HTTP/1.0', chunked, 'HTTP/1.0'],
] as const) {
  test(`${what} that is cut as the daemon ends is reset`, async () => {
    await start(script);
    const { socket } = await open(version);
    const end = endOf(socket);
    fixture.gateway.abort();
    assert.equal(await end, 'reset');
  });

  test(`${what} that is cut at the end of a stop is reset`, async () => {
    const timers = new ManualTimers();
    await start(script, timers);
    const { socket } = await open(version);
    const end = endOf(socket);
    const stopped = fixture.stopDaemon('front-1');
    await timers.advanceUntil(() =>
      fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
    );
    await stopped;
    assert.equal(await end, 'reset');
  });
}

test('a stream in chunks that is cut as the daemon ends lacks its last chunk', async () => {
  await start(chunked);
  const { socket, head } = await open('HTTP/1.1');
  assert.match(head, /transfer-encoding: chunked/i);
  const end = endOf(socket);
  fixture.gateway.abort();
  assert.ok(!(await end).includes('0\r\n\r\n'));
});

// Guards against a reset that discards an answer that is complete.
test('an answer that is complete as the daemon ends arrives whole', async () => {
  await start(engine(3));
  const { socket, head } = await open('HTTP/1.0');
  fixture.gateway.abort();
  const rest = head.includes('piece 3') ? '' : await endOf(socket);
  assert.ok(`${head}${rest}`.endsWith('id: 3\ndata: piece 3\n\n'));
});
