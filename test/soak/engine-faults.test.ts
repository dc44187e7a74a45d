/** Guards against engines that are in no trouble although the plan of stops says so: its seeds would prove nothing. */
import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import http from 'node:http';
import { test } from 'node:test';
import { AcceptMonitor } from '../../soak/accept-monitor.js';
import { strikeEngines } from '../../soak/engine-faults.js';
import { WIRE } from '../../soak/header-names.js';
import { ModelServer } from '../../soak/model-server.js';
import type { Arrival } from '../../soak/record.js';
import { askForStream, withoutPadding } from '../../soak/response-bodies.js';
import { hasAllEvents } from '../../soak/stream-judge.js';
import { madeCall } from './support/made-calls.js';

const TOKEN_MS = 2;

interface Engine {
  readonly server: ModelServer;
  readonly arrivals: readonly Arrival[];
  /** Resolves once as many requests have arrived. */
  readonly arrived: (count: number) => Promise<void>;
  /** Sends a stream of the announced number of tokens; resolves with its body. */
  readonly send: (id: string, announced: number, body: string) => Promise<string>;
}

async function withEngine(use: (engine: Engine) => Promise<void>): Promise<void> {
  const arrivals: Arrival[] = [];
  const arrivalEvents = new EventEmitter();
  const arrived = async (count: number) => {
    while (arrivals.length < count) await once(arrivalEvents, 'arrival');
  };
  const server = new ModelServer({
    service: 'model',
    stage: 'decode',
    softwareVersion: 'v1',
    slots: 24,
    pace: 0,
    tokenMs: TOKEN_MS,
    observer: {
      onArrival: (_, __, arrival) => {
        arrivals.push(arrival);
        // The request is handled right after this call.
        setImmediate(() => arrivalEvents.emit('arrival'));
      },
      onOrder: () => undefined,
      onCrash: () => undefined,
    },
    accepts: new AcceptMonitor(),
    random: () => 1,
    handles: new Map(),
    onStageChange: () => undefined,
  });
  await server.start();
  try {
    await use({ server, arrivals, arrived, send: (...request) => send(server, ...request) });
  } finally {
    server.crash();
  }
}

function send(server: ModelServer, id: string, announced: number, body: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const headers = {
      [WIRE.attemptId]: id,
      [WIRE.expectInstance]: server.id,
      [WIRE.tokenCount]: `10,${announced}`,
    };
    const request = http.request(
      { host: '127.0.0.1', port: server.port, method: 'POST', path: '/generate/x', headers },
      (message) => {
        let text = '';
        message.setEncoding('utf8');
        message.on('data', (chunk: string) => (text += chunk));
        message.on('end', () => resolve(text));
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

test('an engine with a queue starts a request only once another has ended', () =>
  withEngine(async ({ server, arrivals, arrived, send: run }) => {
    server.setQueue(0);
    const answers = [run('r1', 3, ''), run('r2', 3, '')];
    await arrived(2);
    assert.ok(arrivals.every(({ isStarted }) => !isStarted));
    server.setQueue(1);
    assert.deepEqual(
      arrivals.map(({ isStarted }) => isStarted),
      [true, false],
    );
    await Promise.all(answers);
    const [first, second] = arrivals;
    assert.ok(first?.endedMs !== undefined && second?.startedMs !== undefined);
    assert.ok(second.startedMs >= first.endedMs);
  }));

test('requests that wait at an engine start as its queue ends', () =>
  withEngine(async ({ server, arrived, send: run }) => {
    server.setQueue(0);
    const answer = run('r1', 3, '');
    await arrived(1);
    server.setQueue(undefined);
    assert.match(await answer, /3\/3/);
  }));

test('an engine that changes its pace needs that many times as long for a stream', () =>
  withEngine(async ({ server, arrivals, send: run }) => {
    server.slowdown = 20;
    await run('r1', 5, '');
    const [{ startedMs = 0, endedMs = 0 } = {}] = arrivals;
    assert.ok(endedMs - startedMs >= 20 * 5 * TOKEN_MS);
  }));

test('first tokens are late while the fault lasts, and on time after it', () =>
  withEngine(async ({ server }) => {
    const fault = { kind: 'late-first-tokens', servers: [0], delayMs: 300, forMs: 0 } as const;
    const struck = strikeEngines([server], fault);
    assert.equal(server.firstTokenDelayMs, 300);
    await struck;
    assert.equal(server.firstTokenDelayMs, 0);
  }));

test('a stream may have more tokens than announced, and padding that is no part of its events', () =>
  withEngine(async ({ send: run }) => {
    const body = `a question${askForStream({ tokens: 6, paddingBytes: 50 })}`;
    const answer = await run('r1', 2, body);
    assert.notEqual(withoutPadding(answer), answer);
    assert.ok(hasAllEvents(madeCall({ outputTokens: 6 }), answer));
    assert.equal(hasAllEvents(madeCall({ outputTokens: 2 }), answer), false);
  }));
