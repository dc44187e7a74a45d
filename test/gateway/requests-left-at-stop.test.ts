/**
 * Requests that were left at the end of a stop got no answer, though none had begun: their connections were closed. Others
 * lost the end of an answer that was complete, or were reset on their way as the process ended.
 */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { type GatewayFixture, LONG_REQUEST } from './support/fixture.js';
import type { ManualTimers } from './support/manual-timers.js';
import {
  answering,
  rejectingAsNotExecuted,
  type Script,
  type ServedRequest,
  stamped,
} from './support/server-stand-in.js';
import { OUTLASTING_ROUTES, StoppingDaemon } from './support/stopping-daemon.js';

const DAEMON = 'front-1';
const GRACE_MS = 8_000;
/** The last that a daemon does before the platform kills it: it writes its log. */
const LAST_LINES_MS = 300;
const LISTENER_CLOSES_MS = 2_600;
/** The listener is closed by then. */
const LISTENER_CLOSED_MS = 3_000;
const FIRST = 'id: 1\ndata: piece 1\n\n';
/** More than the system buffers for a caller that reads nothing. */
const LARGE_ANSWER_BYTES = 16_000_000;
/** When a stop that cuts something is past its last wait. */
const AFTER_CUT_MS = 7_320;
/** When a caller begins to read an answer that is complete; what runs is cut before. */
const READING_TIMES = [
  ['soon after', AFTER_CUT_MS],
  ['shortly before the last log lines are written', 7_500],
] as const;
const TIMEOUT = { timeout: 20_000 };

let daemon: StoppingDaemon;
let fixture: GatewayFixture;
let timers: ManualTimers;
let callers: Caller[];

/** A caller that reads what comes until its connection ends. */
class Caller {
  readonly socket: Socket;
  received = '';
  receivedBytes = 0;
  /** The last bytes that came. */
  tail = '';
  /** How the connection ended; undefined while it is open. */
  end: 'closed' | 'reset' | undefined;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
      this.tail = (this.tail + chunk.subarray(-10).toString('latin1')).slice(-10);
      if (this.received.length < 10_000) this.received += chunk.toString('latin1');
    });
    this.socket.once('error', () => {
      this.end = 'reset';
    });
    this.socket.once('close', () => {
      this.end ??= 'closed';
    });
  }
}

beforeEach(async () => {
  daemon = new StoppingDaemon();
  ({ fixture, timers } = daemon);
  callers = [];
  await daemon.start(OUTLASTING_ROUTES);
});

afterEach(() => {
  for (const { socket } of callers) socket.destroy();
  fixture.stop();
});

function requestTo(path: string, headers: readonly string[] = [], length = 0): string {
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1', ...headers];
  return [`POST ${path} HTTP/1.1`, ...own, `Content-Length: ${length}`, '', ''].join('\r\n');
}

function open(bytes: string): Caller {
  const caller = new Caller(fixture.callersPort);
  callers.push(caller);
  caller.socket.write(bytes);
  return caller;
}

/** A script for requests of callers, and a wait for the first. */
function receiving(serve: (served: ServedRequest) => void) {
  const served: ServedRequest[] = [];
  const script: Script = (request) => {
    if (request.seen.method !== 'POST') return rejectingAsNotExecuted(request);
    served.push(request);
    serve(request);
  };
  return { script, served, received: () => timers.advanceUntil(() => served.length > 0) };
}

function answerLarge({ seen, response }: ServedRequest): void {
  response.writeHead(200, { ...stamped(seen), 'Content-Length': LARGE_ANSWER_BYTES });
  response.end(Buffer.alloc(LARGE_ANSWER_BYTES));
}

/** Lets time pass until the daemon has the whole answer to a request. */
async function untilAnswered(): Promise<void> {
  await timers.advanceUntil(() =>
    fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.requestEnded),
  );
}

/** Stops the daemon; returns how long it took. */
async function stop(): Promise<number> {
  const beganMs = timers.nowMs();
  let isStopped = false;
  const stopped = fixture.stopDaemon(DAEMON).then(() => {
    isStopped = true;
  });
  await timers.advanceUntil(() => isStopped);
  await stopped;
  return timers.nowMs() - beganMs;
}

async function endOf(caller: Caller): Promise<void> {
  while (caller.end === undefined) await new Promise((resolve) => setImmediate(resolve));
}

function assertAnswered(caller: Caller, status: number): void {
  assert.match(caller.received, new RegExp(`^HTTP/1\\.1 ${status} `));
  assert.match(caller.received, /\r\nconnection: close\r\n/i);
  const [, body = ''] = caller.received.split('\r\n\r\n');
  const length = Number(/content-length: (\d+)/i.exec(caller.received)?.[1]);
  assert.equal(body.length, length);
  if (status === 503) assert.match(caller.received, /\r\nretry-after: 0\.05\r\n/i);
}

test(
  'a request whose body has not arrived at the end of a stop is told that it has not run',
  TIMEOUT,
  async () => {
    const caller = open(`${requestTo('/tiles/1', [], 10)}part`);
    await timers.advanceBy(100);
    assert.ok((await stop()) <= GRACE_MS - LAST_LINES_MS);
    await endOf(caller);
    assertAnswered(caller, 503);
  },
);

test(
  'a request whose prompt is being read at the end of a stop is told that it has not run',
  TIMEOUT,
  async () => {
    const { script, served, received } = receiving(() => undefined);
    await daemon.addServer('i-1', script, { service: 'reader', stage: 'prefill' });
    await daemon.addServer('i-2', script, { service: 'reader', stage: 'decode' });
    const headers = Object.entries(LONG_REQUEST.headers).map(
      ([name, value]) => `${name}: ${value}`,
    );
    const caller = open(requestTo(LONG_REQUEST.path, headers));
    await received();
    assert.ok((await stop()) <= GRACE_MS - LAST_LINES_MS);
    await endOf(caller);
    assertAnswered(caller, 503);
    assert.equal(served.length, 1);
  },
);

test(
  'a request that a server has not answered at the end of a stop is told that it may have run',
  TIMEOUT,
  async () => {
    const { script, served, received } = receiving(() => undefined);
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    await received();
    assert.ok((await stop()) <= GRACE_MS - LAST_LINES_MS);
    await endOf(caller);
    assertAnswered(caller, 504);
    // The server stops working for it.
    await served[0]?.closed;
  },
);

test(
  'a request whose answer is being held at the end of a stop is told that it may have run',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(({ seen, response }) => {
      response.writeHead(200, { ...stamped(seen), 'Content-Length': 10 }).write('half');
    });
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    await received();
    assert.ok((await stop()) <= GRACE_MS - LAST_LINES_MS);
    await endOf(caller);
    assertAnswered(caller, 504);
  },
);

test(
  'a stream that runs at the end of a stop does not look complete, and gets no second answer',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(({ seen, response }) => {
      response.writeHead(200, stamped(seen)).write(FIRST);
    });
    await daemon.addServer('i-1', script, { service: 'reader', stage: 'decode' });
    const caller = open(requestTo('/read/1', ['X-Model: m', 'X-Token-Count: 30,4']));
    await received();
    await timers.advanceUntil(() => caller.received.includes(FIRST));
    await stop();
    await endOf(caller);
    assert.equal(caller.received.split('HTTP/1.1').length, 2);
    assert.ok(!caller.received.includes('0\r\n\r\n'));
  },
);

test(
  'a request that comes as what ran is being cut is told that it has not run',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(answerLarge);
    await daemon.addServer('i-1', script);
    const slow = open(requestTo('/tiles/1'));
    slow.socket.pause();
    const late = open('POST /tiles/2 HTTP/1.1\r\nHost: labels.example\r\n');
    await received();
    // The daemon still has the answer to pass on as what runs is cut, so that the stop goes on.
    await untilAnswered();
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(AFTER_CUT_MS);
    late.socket.write('X-Attempt-Id: a-2\r\nContent-Length: 0\r\n\r\n');
    await timers.advanceBy(GRACE_MS - AFTER_CUT_MS);
    await stopped;
    await endOf(late);
    assertAnswered(late, 503);
  },
);

for (const [when, readsAfterMs] of READING_TIMES) {
  test(
    `an answer that is complete at the end of a stop reaches a caller that reads it ${when}`,
    TIMEOUT,
    async () => {
      const { script, received } = receiving(answerLarge);
      await daemon.addServer('i-1', script);
      const caller = open(requestTo('/tiles/1'));
      caller.socket.pause();
      await received();
      await untilAnswered();
      let isStopped = false;
      void fixture.stopDaemon(DAEMON).then(() => {
        isStopped = true;
      });
      await timers.advanceBy(readsAfterMs);
      caller.socket.resume();
      while (!isStopped && caller.receivedBytes < LARGE_ANSWER_BYTES) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      await timers.advanceUntil(() => isStopped);
      await endOf(caller);
      assert.ok(caller.receivedBytes > LARGE_ANSWER_BYTES);
    },
  );
}

test(
  'a caller that never reads its answer does not keep a stop past its end',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(answerLarge);
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    caller.socket.pause();
    await received();
    assert.ok((await stop()) <= GRACE_MS - LAST_LINES_MS);
  },
);

test(
  'a daemon that stands still over the end of a stop answers what is left as soon as it goes on',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(() => undefined);
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    await received();
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(7_000);
    timers.stall(900);
    let isStopped = false;
    void stopped.then(() => {
      isStopped = true;
    });
    const resumedMs = timers.nowMs();
    await timers.advanceUntil(() => isStopped);
    assert.ok(timers.nowMs() - resumedMs <= 100);
    await endOf(caller);
    assertAnswered(caller, 504);
  },
);

test(
  'a stop of a daemon that stood still as the signal came ends before the platform would kill it',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(() => undefined);
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    await received();
    timers.stall(1_500);
    // The late timers fire before the signal is handled.
    timers.advance(0);
    const tookMs = await stop();
    assert.ok(tookMs + 1_500 <= GRACE_MS - LAST_LINES_MS);
    await endOf(caller);
    assertAnswered(caller, 504);
  },
);

test(
  'a request that is sent right after the last answer of a stop is answered on its connection',
  TIMEOUT,
  async () => {
    const { script, served, received } = receiving(({ seen, response }) => {
      response.writeHead(200, stamped(seen)).write(FIRST);
    });
    await daemon.addServer('i-1', script, { service: 'reader', stage: 'decode' });
    await daemon.addServer('i-2', answering(200, 'served'));
    const caller = open(requestTo('/read/1', ['X-Model: m', 'X-Token-Count: 30,4']));
    await received();
    await timers.advanceUntil(() => caller.received.includes(FIRST));
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(4_000);
    served[0]?.response.end();
    await timers.advanceUntil(() => caller.received.endsWith('0\r\n\r\n'));
    // More than one look of the stop at what is in flight.
    await timers.advanceBy(60);
    const before = caller.received.length;
    caller.socket.write(requestTo('/tiles/2'));
    await endOf(caller);
    assert.match(caller.received.slice(before), /^HTTP\/1\.1 (200|503) /);
    await timers.advanceBy(GRACE_MS);
    await stopped;
  },
);

test(
  'an answer that is complete as the listener closes reaches its slow caller',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(answerLarge);
    await daemon.addServer('i-1', script);
    const caller = open(requestTo('/tiles/1'));
    caller.socket.pause();
    await received();
    await untilAnswered();
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(LISTENER_CLOSED_MS);
    caller.socket.resume();
    while (caller.end === undefined && caller.receivedBytes <= LARGE_ANSWER_BYTES) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.ok(caller.receivedBytes > LARGE_ANSWER_BYTES);
    caller.socket.destroy();
    await timers.advanceBy(GRACE_MS);
    await stopped;
  },
);

test(
  'a stream that is complete as the listener closes reaches its slow caller',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(({ seen, response }) => {
      response.writeHead(200, stamped(seen));
      response.end(`data: ${'x'.repeat(LARGE_ANSWER_BYTES)}\n\n`);
    });
    await daemon.addServer('i-1', script, { service: 'reader', stage: 'decode' });
    const caller = open(requestTo('/read/1', ['X-Model: m', 'X-Token-Count: 30,4']));
    caller.socket.pause();
    await received();
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(LISTENER_CLOSED_MS - 500);
    caller.socket.resume();
    // The caller takes a part until the server has ended its stream, and the rest once the listener is closed.
    while (!fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.requestEnded)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    caller.socket.pause();
    await timers.advanceBy(500);
    caller.socket.resume();
    while (caller.end === undefined && !caller.tail.endsWith('0\r\n\r\n')) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.ok(caller.tail.endsWith('0\r\n\r\n'));
    caller.socket.destroy();
    await timers.advanceBy(GRACE_MS);
    await stopped;
  },
);

test(
  'a request that is on its way on an idle connection as the listener closes is answered',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(({ seen, response }) => {
      if (seen.url === '/tiles/2') response.writeHead(200, stamped(seen)).end('served');
    });
    await daemon.addServer('i-1', script);
    open(requestTo('/tiles/1'));
    await received();
    const caller = open(requestTo('/tiles/2'));
    await timers.advanceUntil(() => caller.received.endsWith('served'));
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(LISTENER_CLOSES_MS - 10);
    const before = caller.received.length;
    caller.socket.write(requestTo('/nowhere/2'));
    timers.advance(50);
    await endOf(caller);
    assert.match(caller.received.slice(before), /^HTTP\/1\.1 /);
    await timers.advanceBy(GRACE_MS);
    await stopped;
  },
);

test(
  'a request on a connection that waits to be accepted as the listener closes is answered',
  TIMEOUT,
  async () => {
    const { script, received } = receiving(() => undefined);
    await daemon.addServer('i-1', script);
    open(requestTo('/tiles/1'));
    await received();
    const stopped = fixture.stopDaemon(DAEMON);
    await timers.advanceBy(LISTENER_CLOSES_MS - 10);
    const caller = open(requestTo('/nowhere/2'));
    timers.advance(50);
    await endOf(caller);
    assert.match(caller.received, /^HTTP\/1\.1 /);
    await timers.advanceBy(GRACE_MS);
    await stopped;
  },
);
