/** Guards against what a stop took from connections at the moments when it closes them: answers and requests on their way. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import {
  answering,
  rejectingAsNotExecuted,
  type Script,
  type ServedRequest,
} from './support/server-stand-in.js';
import { beginStream, FIRST_EVENT } from './support/stopping-daemon.js';

/** The listener closes 2.6 s after the signal; what runs is cut off 7.3 s after it. */
const SHORTLY_BEFORE_CLOSE_MS = 2_590;
const LISTENER_CLOSED_MS = 3_000;
const SHORTLY_BEFORE_CUT_MS = 7_200;
const UNTIL_CUT_MS = 200;
/** More than the time between two looks for requests that still run. */
const LOOK_MS = 100;
/** More than the system buffers for a connection whose caller does not read. */
const LARGE_BYTES = 15_000_000;
const LAST_CHUNK = '0\r\n\r\n';
const ANSWER = 'served';

let fixture: GatewayFixture;
let timers: ManualTimers;

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  await fixture.start(timers);
  const patient = { timeoutMs: 60_000 };
  const routes = [route(patient), { ...READ_ROUTE, ...patient }];
  fixture.store.putConfiguration(configuration(1, routes));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
});

afterEach(() => fixture.stop());

async function addServer(script: Script, fields: object = {}): Promise<void> {
  await fixture.addServer('i-1', script, fields);
  await fixture.logged(GATEWAY_EVENTS.serverAdded);
}

/** A server that answers nothing by itself, and the callers' requests that it got. */
function holding() {
  const held: ServedRequest[] = [];
  const script: Script = (served) => {
    if (served.seen.method === 'POST') held.push(served);
    else rejectingAsNotExecuted(served);
  };
  return { held, script };
}

function request(path: string, id = 'a-1'): string {
  const head = ['Host: labels.example', `X-Attempt-Id: ${id}`, 'X-Model: m', 'X-Token-Count: 30,4'];
  return [`POST ${path} HTTP/1.1`, ...head, 'Content-Length: 0', '', ''].join('\r\n');
}

/** A caller's connection, and what it has received. */
class Caller {
  readonly socket: Socket;
  received = '';
  readonly #closed: Promise<void>;

  constructor() {
    this.socket = connect(fixture.callersPort, '127.0.0.1');
    this.socket.on('error', () => undefined);
    this.#closed = new Promise((resolve) => this.socket.once('close', () => resolve()));
  }

  /** Reads until a text has come. */
  async receive(text: string): Promise<void> {
    this.read();
    while (!this.received.includes(text)) await once(this.socket, 'data');
  }

  /** Reads until the connection ends. */
  async receiveAll(): Promise<string> {
    this.read();
    await this.#closed;
    return this.received;
  }

  read(): void {
    if (this.socket.listenerCount('data') > 0) return;
    this.socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
    });
  }
}

/** A stream whose caller has its first event, and whose server sends no more by itself. */
async function streamTo(caller: Caller): Promise<ServedRequest> {
  const { held, script } = holding();
  await addServer(script, { service: 'reader', stage: 'decode' });
  caller.socket.write(request('/read/1'));
  await timers.advanceUntil(() => held.length === 1);
  const [stream] = held;
  assert.ok(stream);
  beginStream(stream);
  await caller.receive(FIRST_EVENT);
  return stream;
}

function stop(): void {
  void fixture.stopDaemon('front-1');
}

async function untilStopped(): Promise<void> {
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
  );
}

function bodyOf(answer: string): string {
  return answer.slice(answer.indexOf('\r\n\r\n') + 4);
}

// An answer counts as ended for node:http once it is written, while most of it may still be in the process.
test('an answer that its caller has not read as the listener closes arrives whole', async () => {
  await addServer(answering(200, 'x'.repeat(LARGE_BYTES)));
  const caller = new Caller();
  caller.socket.write(request('/tiles/1'));
  await fixture.logged(GATEWAY_EVENTS.requestEnded);
  stop();
  await timers.advanceBy(LISTENER_CLOSED_MS);
  const answer = await caller.receiveAll();
  assert.equal(bodyOf(answer).length, LARGE_BYTES);
  await untilStopped();
});

// The system resets connections that were not accepted yet, and the daemon those whose request it has not read yet.
test('a connection that is opened as the listener closes gets an answer', async () => {
  await addServer(answering(200, ANSWER));
  stop();
  await timers.advanceBy(SHORTLY_BEFORE_CLOSE_MS);
  const caller = new Caller();
  caller.socket.write(request('/tiles/1'));
  await new Promise((resolve) => process.nextTick(resolve));
  timers.advance(LOOK_MS);
  await untilStopped();
  assert.match(await caller.receiveAll(), /^HTTP\/1\.1 /);
});

// Its caller was not told that the daemon stops, as the answer before began earlier.
test('a request that is on its way as the last answer ends gets an answer', async () => {
  const caller = new Caller();
  const stream = await streamTo(caller);
  stop();
  await timers.advanceBy(LISTENER_CLOSED_MS);
  stream.response.end();
  await caller.receive(LAST_CHUNK);
  caller.received = '';
  caller.socket.write(request('/none/2', 'a-2'));
  timers.advance(LOOK_MS);
  await untilStopped();
  assert.match(await caller.receiveAll(), /^HTTP\/1\.1 404 /);
});

// Timers come before sockets in a turn of the event loop, so a daemon that is behind cuts what it could pass on.
test('an answer that has come in as a daemon cuts what runs is passed on', async () => {
  const { held, script } = holding();
  await addServer(script);
  const caller = new Caller();
  caller.socket.write(request('/tiles/1'));
  await timers.advanceUntil(() => held.length === 1);
  stop();
  await timers.advanceBy(SHORTLY_BEFORE_CUT_MS);
  const [served] = held;
  assert.ok(served);
  answering(200, ANSWER)(served);
  timers.advance(UNTIL_CUT_MS);
  await untilStopped();
  const answer = await caller.receiveAll();
  assert.match(answer, /^HTTP\/1\.1 200 /);
  assert.equal(bodyOf(answer), ANSWER);
});

// The answer before it closed the connection, and the request had been passed on.
test('a pipelined request that runs as the answer before it ends in a stop gets its answer', async () => {
  const { held, script } = holding();
  await addServer(script);
  const caller = new Caller();
  caller.socket.write(`${request('/tiles/1', 'a-1')}${request('/tiles/2', 'a-2')}`);
  await timers.advanceUntil(() => held.length === 2);
  stop();
  await timers.advanceBy(LOOK_MS);
  const [first, second] = held;
  assert.ok(first && second);
  answering(200, 'first')(first);
  await caller.receive('first');
  answering(200, 'second')(second);
  await untilStopped();
  assert.match(await caller.receiveAll(), /first.*HTTP\/1\.1 200 .*second$/s);
});

// The one before it was cut, and its connection closed with it.
test('an answer that waits for the one before it on its connection arrives as that is cut', async () => {
  const { held, script } = holding();
  await addServer(script);
  const caller = new Caller();
  caller.socket.write(`${request('/tiles/1', 'a-1')}${request('/tiles/2', 'a-2')}`);
  await timers.advanceUntil(() => held.length === 2);
  const [, second] = held;
  assert.ok(second);
  answering(200, ANSWER)(second);
  await fixture.logged(GATEWAY_EVENTS.requestEnded);
  stop();
  await untilStopped();
  assert.match(await caller.receiveAll(), /^HTTP\/1\.1 504 .*HTTP\/1\.1 200 .*served$/s);
});

// node:http tells nothing of the end of a connection to the answers whose turn has not come.
test('a stop does not wait for a pipelined request whose caller has left', async () => {
  const { held, script } = holding();
  await addServer(script);
  const caller = new Caller();
  caller.socket.write(`${request('/tiles/1', 'a-1')}${request('/tiles/2', 'a-2')}`);
  await timers.advanceUntil(() => held.length === 2);
  caller.socket.destroy();
  await timers.advanceBy(LOOK_MS);
  const stoppedAtMs = timers.nowMs();
  stop();
  await untilStopped();
  assert.ok(timers.nowMs() - stoppedAtMs < SHORTLY_BEFORE_CUT_MS);
});

// The head of the stream was sent before the signal, so its caller was not told that the connection closes.
test('a request that is pipelined behind a stream from before the signal gets an answer', async () => {
  const caller = new Caller();
  const stream = await streamTo(caller);
  stop();
  caller.socket.write(request('/none/2', 'a-2'));
  await timers.advanceBy(LOOK_MS);
  stream.response.end();
  await untilStopped();
  assert.match(await caller.receiveAll(), /0\r\n\r\nHTTP\/1\.1 404 /);
});
