/** Requests that a stop cut were named in no log line, so that nothing told what had become of them and why. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { STOP_EVENTS } from '../../src/core/logging/catalogue/stops.js';
import type { LogFields } from '../../src/core/logging/log-event.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { GatewayStop } from '../../src/shell/gateway/gateway-stop.js';
import { OpenRequest } from '../../src/shell/gateway/open-requests.js';
import { type GatewayFixture, LONG_REQUEST } from './support/fixture.js';
import type { ManualTimers } from './support/manual-timers.js';
import {
  rejectingAsNotExecuted,
  type Script,
  type ServedRequest,
  stamped,
} from './support/server-stand-in.js';
import { OUTLASTING_ROUTES, StoppingDaemon } from './support/stopping-daemon.js';

const DAEMON = 'front-1';
const FIRST = 'id: 1\ndata: piece 1\n\n';
/** Most of it stays in the daemon while its caller does not read. */
const LARGE_ANSWER = 'x'.repeat(15_000_000);

let daemon: StoppingDaemon;
let fixture: GatewayFixture;
let timers: ManualTimers;
let sockets: Socket[];

beforeEach(async () => {
  daemon = new StoppingDaemon();
  ({ fixture, timers } = daemon);
  sockets = [];
  await daemon.start(OUTLASTING_ROUTES);
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  fixture.stop();
});

/** The head of a request and the given part of its body. */
function requestTo(path: string, headers: readonly string[] = [], body = ''): string {
  const length = headers.some((header) => header.startsWith('Content-Length'))
    ? []
    : ['Content-Length: 0'];
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1', ...headers, ...length];
  return [`POST ${path} HTTP/1.1`, ...own, '', body].join('\r\n');
}

/** Sends a request on a connection of its own. */
function send(...request: Parameters<typeof requestTo>): Socket {
  const socket = connect(fixture.callersPort, '127.0.0.1');
  socket.on('error', () => undefined);
  sockets.push(socket);
  socket.write(requestTo(...request));
  return socket;
}

/** Stops the daemon, and returns the lines of what it cut. */
async function stop(): Promise<readonly LogFields[]> {
  const stopped = fixture.stopDaemon(DAEMON);
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.stopped),
  );
  await stopped;
  return daemon.linesOf(STOP_EVENTS.requestCutByStop);
}

/** A script that leaves requests of callers unanswered, or goes on with them, and a wait for the first. */
function receiving(serve: (served: ServedRequest) => void) {
  let hasReceived = false;
  const script: Script = (served) => {
    if (served.seen.method !== 'POST') return rejectingAsNotExecuted(served);
    serve(served);
    hasReceived = true;
  };
  return { script, received: () => timers.advanceUntil(() => hasReceived) };
}

/** Virtual time moves on by a few steps while the sockets are read. */
function assertAbout(elapsedMs: LogFields[string] | undefined, expectedMs: number): void {
  const lateMs = Number(elapsedMs) - expectedMs;
  assert.ok(lateMs >= 0 && lateMs <= 50, `${elapsedMs} ms in place of ${expectedMs}`);
}

test('a request whose body has not arrived is named as a stop cuts it', async () => {
  send('/tiles/1', ['Content-Length: 10'], 'part');
  await timers.advanceBy(100);
  const [line, ...others] = await stop();
  assert.equal(others.length, 0);
  assert.equal(line?.request, 'a-1');
  assert.equal(line?.route, 'tiles');
  assert.equal(line?.phase, 'reading-body');
  assert.equal(line?.mayHaveRun, false);
  assert.equal(line?.server, '');
});

test('a request that its server has not answered is named with the server as a stop cuts it', async () => {
  const { script, received } = receiving(() => undefined);
  await daemon.addServer('i-1', script);
  send('/tiles/1');
  await received();
  const [line] = await stop();
  assert.equal(line?.phase, 'sent');
  assert.equal(line?.server, 'i-1');
  assert.equal(line?.service, 'viewer');
  assert.equal(line?.mayHaveRun, true);
  assert.equal(line?.bytesSent, 0);
  assertAbout(line?.sinceStopMs, 7_300);
  assert.ok(Number(line?.arrivedAfterStopMs) <= 0);
  assert.ok(Number(line?.elapsedMs) >= 7_300);
  assert.ok(Number(line?.deadlineInMs) > 0);
});

test('a request whose answer is being held is named as a stop cuts it', async () => {
  const { script, received } = receiving(({ seen, response }) => {
    response.writeHead(200, { ...stamped(seen), 'Content-Length': 10 }).write('half');
  });
  await daemon.addServer('i-1', script);
  send('/tiles/1');
  await received();
  const [line] = await stop();
  assert.equal(line?.phase, 'receiving-answer');
  assert.equal(line?.server, 'i-1');
});

test('a prompt that is being read is named with the engine as a stop cuts it', async () => {
  const { script, received } = receiving(() => undefined);
  await daemon.addServer('i-1', script, { service: 'reader', stage: 'prefill' });
  await daemon.addServer('i-2', script, { service: 'reader', stage: 'decode' });
  const headers = Object.entries(LONG_REQUEST.headers).map(([name, value]) => `${name}: ${value}`);
  send(LONG_REQUEST.path, headers);
  await received();
  const [line] = await stop();
  assert.equal(line?.phase, 'prefilling');
  assert.equal(line?.server, 'i-1');
  assert.equal(line?.mayHaveRun, false);
});

test('a stream is named with what was sent of it as a stop cuts it', async () => {
  const { script, received } = receiving(({ seen, response }) => {
    response.writeHead(200, stamped(seen)).write(FIRST);
  });
  await daemon.addServer('i-1', script, { service: 'reader', stage: 'decode' });
  send('/read/1', ['X-Model: m', 'X-Token-Count: 30,4']);
  await received();
  const [line] = await stop();
  assert.equal(line?.phase, 'streaming');
  assert.equal(line?.server, 'i-1');
  assert.equal(line?.bytesSent, FIRST.length);
});

test('an answer that waits for the one before it on its connection is named with what is left of it', async () => {
  const { script, received } = receiving(({ seen, response }) => {
    if (seen.url === '/tiles/2') response.writeHead(200, stamped(seen)).end(LARGE_ANSWER);
  });
  await daemon.addServer('i-1', script);
  const socket = send('/tiles/1');
  await received();
  socket.write(requestTo('/tiles/2'));
  await timers.advanceUntil(() => daemon.linesOf(GATEWAY_EVENTS.requestEnded).length > 0);
  const [first, second] = await stop();
  assert.equal(first?.phase, 'sent');
  assert.equal(second?.phase, 'delivering');
  assert.equal(second?.server, 'i-1');
  assert.ok(Number(second?.bufferedBytes) >= LARGE_ANSWER.length / 10);
});

test('the lines of a stop tell when the listener closes, when requests are cut, and how many were', async () => {
  const { script, received } = receiving(() => undefined);
  await daemon.addServer('i-1', script);
  send('/tiles/1');
  await received();
  await stop();
  const [stopping] = daemon.linesOf(GATEWAY_EVENTS.stopping);
  assert.deepEqual(stopping, {
    inFlight: 1,
    listenerClosesInMs: 2_600,
    cutsInMs: 7_300,
    signalAgeMs: 0,
  });
  const [closed] = daemon.linesOf(STOP_EVENTS.listenerClosed);
  assert.deepEqual({ ...closed, elapsedMs: 0 }, { inFlight: 1, openConnections: 1, elapsedMs: 0 });
  assertAbout(closed?.elapsedMs, 2_600);
  const [stopped] = daemon.linesOf(GATEWAY_EVENTS.stopped);
  assert.equal(stopped?.cut, 1);
  assert.ok(Number(stopped?.tookMs) >= 7_300);
});

test('a stop in which all requests end names none', async () => {
  assert.deepEqual(await stop(), []);
  const [stopped] = daemon.linesOf(GATEWAY_EVENTS.stopped);
  assert.equal(stopped?.cut, 0);
  assert.ok(Number(stopped?.tookMs) < 7_300);
});

test('requests that a stop cuts are counted by what was being done for them', async () => {
  const metrics = new GatewayMetrics();
  const arrived = {
    request: { headers: {} },
    response: { writableLength: 0 },
    forwarded: undefined,
    arrivedAtMs: 0,
  } as unknown as OpenRequest['arrived'];
  const opens = [new OpenRequest(arrived), new OpenRequest(arrived)];
  for (const open of opens) open.enter('reading-body', 'tiles');
  const callers = { server: {}, inFlight: 2, openRequests: { all: () => opens } };
  const stopOfTwo = new GatewayStop({
    graceMs: 8_000,
    signalAgeMs: 0,
    callers,
    codec: { describe: () => undefined },
    timers,
    log: { write: () => undefined },
    metrics,
  } as unknown as ConstructorParameters<typeof GatewayStop>[0]);
  stopOfTwo.logEnd();
  assert.match(
    await metrics.text(),
    /^threadfork_gateway_cut_by_stop_total\{phase="reading-body"\} 2$/m,
  );
});
