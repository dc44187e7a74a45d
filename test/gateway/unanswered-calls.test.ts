/** Guards against late requests whose log does not tell whether they were sent before their server departed. */

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import { type Departure, UnansweredCalls } from '../../src/core/gateway/index.js';
import { DEPARTURE_EVENTS } from '../../src/core/logging/catalogue/departures.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import type { BackendAnswer } from '../../src/shell/gateway/backend-answer.js';
import type { CallResult } from '../../src/shell/gateway/backend-connections.js';
import { DepartureReports } from '../../src/shell/gateway/departure-reports.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { ServerCalls } from '../../src/shell/gateway/server-calls.js';
import { deferred } from './support/deferred.js';
import { ManualTimers } from './support/manual-timers.js';
import { SERVER } from './support/server-record.js';

const DRAIN_MS = 2_000;

/** The head of the answer to a request. */
function answerTo(request: string): CallResult {
  const message = { headers: { 'x-attempt-id': request } };
  const answer = { status: 200, message, isReusedConnection: false, destroy: () => undefined };
  return { kind: 'answered', answer: answer as unknown as BackendAnswer };
}

interface Line {
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** Calls whose results a test decides. */
class ScriptedCalls {
  readonly timers = new ManualTimers();
  readonly lines: Line[] = [];
  readonly #results: ReturnType<typeof deferred<CallResult>>[] = [];
  readonly #calls: ServerCalls;
  readonly #reports: DepartureReports;
  readonly #fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, undefined, () =>
    this.timers.nowMs(),
  );

  constructor() {
    const fleet = this.#fleet;
    fleet.directory.replaceAll([SERVER]);
    const log = {
      write: (event: LogEvent, fields: LogFields = {}) => this.lines.push({ event, fields }),
    };
    this.#reports = new DepartureReports({
      build: 'build-1',
      drainMs: DRAIN_MS,
      fleet,
      relayName: () => 'front-7',
      timers: this.timers,
      metrics: new GatewayMetrics(),
      log,
    });
    this.#calls = new ServerCalls({
      reports: this.#reports,
      stalls: { whenCurrent: () => undefined },
      connections: {
        call: () => {
          const result = deferred<CallResult>();
          this.#results.push(result);
          return result.promise;
        },
      },
      fleet,
      paths: { recordConnected: () => undefined, recordFailure: () => undefined },
      codec: createPlatformAdapter(ANSWER_READING, { host: '127.0.0.1', port: 1 }).requests,
      timers: this.timers,
      wallClock: () => this.timers.nowMs(),
      metrics: new GatewayMetrics(),
      log,
      onLimitChange: () => undefined,
    });
  }

  /** Sends a request. @returns ends the call with a result, after it was given up if `isGivenUp` */
  send(request: string): (result: CallResult, isGivenUp: boolean) => Promise<void> {
    const abort = new AbortController();
    const ended = this.#calls.call({
      server: SERVER,
      purpose: 'run',
      request,
      method: 'POST',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      mayKeepConnection: false,
      connectTimeoutMs: 100,
      signal: abort.signal,
    });
    const result = this.#results.at(-1);
    return async (outcome, isGivenUp) => {
      if (isGivenUp) abort.abort();
      result?.resolve(outcome);
      await ended;
    };
  }

  /** The requests that the line of a departure names. */
  departed(): readonly LogFields[] {
    const nowMs = this.timers.nowMs();
    const departure: Departure = {
      server: SERVER,
      state: 'gone',
      source: 'notice',
      era: 0,
      revision: 7,
      learnedAtMs: nowMs,
      changedAfterMs: nowMs - 100,
    };
    this.#reports.reportDeparture(departure);
    return this.linesOf(GATEWAY_EVENTS.unansweredAtDeparture);
  }

  /** The server's row is gone, which this daemon learns `lateMs` after it last knew the row. */
  learnGone(lateMs: number): void {
    const nowMs = this.timers.nowMs();
    const change = this.#fleet.directory.apply([], [SERVER.id]);
    const origin = {
      source: 'relay',
      era: 0,
      revision: 7,
      changedAfterMs: nowMs - lateMs,
    } as const;
    const learned = this.#fleet.departures.recordChange(change, origin);
    for (const departure of learned) this.#reports.reportDeparture(departure);
  }

  linesOf(event: LogEvent): readonly LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

let calls: ScriptedCalls;

beforeEach(() => {
  calls = new ScriptedCalls();
});

test('a request without an answer is named as its server departs, with when it was sent', async () => {
  calls.send('waits');
  calls.timers.advance(300);
  const [line, ...others] = calls.departed();
  assert.deepEqual(others, []);
  assert.deepEqual(line, {
    request: 'waits',
    server: SERVER.id,
    build: 'build-1',
    purpose: 'run',
    state: 'gone',
    source: 'notice',
    sentAgoMs: 300,
    givenUpAgoMs: null,
    changedWithinMs: 100,
    calls: 1,
  });
});

test('a request that this daemon has given up is named too, as its server may still read it', async () => {
  const end = calls.send('given up');
  calls.timers.advance(200);
  await end({ kind: 'broken', reason: 'given up' }, true);
  calls.timers.advance(300);
  const [line] = calls.departed();
  assert.equal(line?.request, 'given up');
  assert.equal(line?.sentAgoMs, 500);
  assert.equal(line?.givenUpAgoMs, 300);
  assert.equal(calls.departed().length, 1, 'named once');
});

for (const [what, outcome] of [
  ['was not sent', { kind: 'not-sent', reason: 'refused', connectTimedOut: false }],
  ['was cut off by its server', { kind: 'broken', reason: 'connection closed' }],
] as const) {
  test(`a request that ${what} is not named`, async () => {
    await calls.send('ended')(outcome, false);
    assert.deepEqual(calls.departed(), []);
  });
}

test('requests that were given up are remembered in bounded number and time', () => {
  const unanswered = new UnansweredCalls();
  for (let index = 0; index < 5_000; index += 1) {
    const request = `r${index}`;
    const call = unanswered.add({ server: SERVER, request, purpose: 'run', sentAtMs: 0 });
    unanswered.giveUp(call, 0);
  }
  assert.equal(unanswered.takeOf(SERVER, 0).length, 1_024);
  const call = unanswered.add({ server: SERVER, request: 'old', purpose: 'run', sentAtMs: 0 });
  unanswered.giveUp(call, 0);
  assert.deepEqual(unanswered.takeOf(SERVER, 60_001), []);
});

test('a departure that is learned late is logged with the relay that was relied on and the last request sent there', async () => {
  await calls.send('last')({ kind: 'broken', reason: 'reset' }, false);
  calls.timers.advance(100);
  calls.learnGone(DRAIN_MS / 2 + 1);
  const [line, ...others] = calls.linesOf(DEPARTURE_EVENTS.learnedLate);
  assert.deepEqual(others, []);
  assert.equal(line?.changedWithinMs, DRAIN_MS / 2 + 1);
  assert.equal(line?.relay, 'front-7');
  assert.equal(line?.lastRequest, 'last');
  assert.equal(line?.lastSentAgoMs, 100);
});

test('a departure that is learned in time is not logged as late', () => {
  calls.learnGone(DRAIN_MS / 2);
  assert.deepEqual(calls.linesOf(DEPARTURE_EVENTS.learnedLate), []);
});

test('a request that a server answers long after its departure became known is logged with both ages', async () => {
  const end = calls.send('late');
  calls.timers.advance(100);
  calls.learnGone(0);
  calls.timers.advance(DRAIN_MS / 2 + 1);
  await end(answerTo('late'), false);
  const [line, ...others] = calls.linesOf(DEPARTURE_EVENTS.answeredLate);
  assert.deepEqual(others, []);
  assert.equal(line?.request, 'late');
  assert.equal(line?.learnedAgoMs, DRAIN_MS / 2 + 1);
  assert.equal(line?.sentAgoMs, DRAIN_MS / 2 + 101);
});
