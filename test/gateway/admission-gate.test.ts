/** The admission gate: rechecks on events and by timer, callers that disconnect, and a stop of the daemon. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Placement } from '../../src/core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import type { AdmissionCheck } from '../../src/shell/gateway/admission-check.js';
import { AdmissionGate } from '../../src/shell/gateway/admission-gate.js';
import type { Exchange } from '../../src/shell/gateway/exchange.js';
import { RequestProgress } from '../../src/shell/gateway/request-progress.js';
import { ManualTimers } from './support/manual-timers.js';

const GO: Placement = { kind: 'go', slackMs: 200 };
const WAIT: Placement = { kind: 'wait', slackMs: 200, roomInMs: 60 };

interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** A gate that records its log lines, metrics and refusals. */
function setUp() {
  const timers = new ManualTimers();
  const lines: { event: LogEvent; fields: LogFields }[] = [];
  const waits: number[] = [];
  const refusals: string[] = [];
  const gate = new AdmissionGate({
    isOn: true,
    timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
    metrics: {
      recordWait: (_rank, waitedMs) => waits.push(waitedMs),
      recordCapacityRefusal: (reason, rank) => refusals.push(`${reason} ${rank}`),
    },
  });
  return { gate, timers, lines, waits, refusals };
}

/** A request whose admission decision a test sets. */
function caller(timers: ManualTimers, name: string, first: Placement, isSentAtHoldLimit = false) {
  const left = new AbortController();
  const answers: Refusal[] = [];
  const exchange = {
    options: {
      description: { attemptId: name },
      tenant: { name: 'bakery' },
      rank: 1,
      arrivedAtMs: timers.nowMs(),
    },
    signal: left.signal,
    progress: new RequestProgress(),
    remainingMs: () => 5_000,
    refuse: (reason: string, retryAfterMs: number) => answers.push({ reason, retryAfterMs }),
  } as unknown as Exchange;
  const state = { placement: first, reserved: 0 };
  const check: AdmissionCheck = {
    lane: 'reader/read',
    costMs: 50,
    spacingMs: 20,
    isSentAtHoldLimit,
    decide: () => state.placement,
    inputs: () => ({ queueMs: 300, sumsAgeMs: 80 }),
    reserve: () => {
      state.reserved += 1;
      return () => {
        state.reserved -= 1;
      };
    },
  };
  return { exchange, check, state, answers, left };
}

test('a request with capacity is admitted at once and keeps its reservation until it is sent', async () => {
  const { gate, timers, lines } = setUp();
  const { exchange, check, state } = caller(timers, 'a', GO);
  const release = await gate.admit(exchange, check);
  assert.equal(state.reserved, 1);
  release?.();
  assert.equal(state.reserved, 0);
  assert.deepEqual(lines, []);
});

test('a held request is admitted by the event that frees capacity, and its wait is logged', async () => {
  const { gate, timers, lines, waits } = setUp();
  const { exchange, check, state } = caller(timers, 'a', WAIT);
  const admitted = gate.admit(exchange, check);
  assert.equal(gate.waiting, 1);
  timers.advance(30);
  assert.equal(gate.waiting, 1);
  state.placement = GO;
  gate.wake();
  assert.notEqual(await admitted, undefined);
  assert.deepEqual(
    lines.map(({ event }) => event),
    [GATEWAY_EVENTS.requestWaits, GATEWAY_EVENTS.requestWaited],
  );
  assert.deepEqual(lines[0]?.fields, {
    request: 'a',
    lane: 'reader/read',
    rank: 1,
    tenant: 'bakery',
    queueMs: 300,
    sumsAgeMs: 80,
    behind: 0,
    roomInMs: 60,
    mostMs: 200,
  });
  assert.deepEqual(waits, [30]);
});

test('without an event a held request is rechecked by timer when capacity is expected', async () => {
  const { gate, timers } = setUp();
  const { exchange, check, state } = caller(timers, 'a', WAIT);
  const admitted = gate.admit(exchange, check);
  state.placement = GO;
  timers.advance(59);
  assert.equal(gate.waiting, 1);
  timers.advance(1);
  assert.notEqual(await admitted, undefined);
});

test('a request held for the maximum time is refused, or sent if its check says so', async () => {
  const { gate, timers, refusals, lines } = setUp();
  const refused = caller(timers, 'a', WAIT);
  const sent = caller(timers, 'b', WAIT, true);
  const admitted = [refused, sent].map(({ exchange, check }) => gate.admit(exchange, check));
  timers.advance(200);
  const [first, second] = await Promise.all(admitted);
  assert.equal(first, undefined);
  assert.notEqual(second, undefined);
  assert.deepEqual(refusals, ['no room came 1']);
  assert.ok((refused.answers[0]?.retryAfterMs ?? 0) > 0);
  const line = lines.find(({ event }) => event === GATEWAY_EVENTS.requestTurnedAway);
  assert.equal(line?.fields.waitedMs, 200);
  assert.equal(gate.waiting, 0);
});

test('a caller that disconnects is removed from the waiting room at once and gets no answer', async () => {
  const { gate, timers, refusals } = setUp();
  const { exchange, check, left, answers } = caller(timers, 'a', WAIT);
  const admitted = gate.admit(exchange, check);
  left.abort();
  assert.equal(await admitted, undefined);
  assert.equal(gate.waiting, 0);
  assert.deepEqual([refusals, answers], [[], []]);
});

test('a stopping daemon refuses held requests and holds no more, but admits requests with capacity', async () => {
  const { gate, timers, refusals } = setUp();
  const waiting = caller(timers, 'a', WAIT);
  const admitted = gate.admit(waiting.exchange, waiting.check);
  gate.beginStop();
  assert.equal(await admitted, undefined);
  assert.equal(waiting.answers.length, 1);
  const late = caller(timers, 'b', WAIT);
  assert.equal(await gate.admit(late.exchange, late.check), undefined);
  const free = caller(timers, 'c', GO);
  assert.notEqual(await gate.admit(free.exchange, free.check), undefined);
  assert.deepEqual(refusals, ['stopping 1', 'stopping 1']);
  assert.equal(gate.waiting, 0);
});

test('a hopeless request is refused at once with a retry time after capacity is expected', async () => {
  const { gate, timers, lines } = setUp();
  const hopeless: Placement = { kind: 'refuse', reason: 'hopeless', roomInMs: 400 };
  const retryTimesMs: number[] = [];
  for (const name of ['a', 'b', 'c']) {
    const { exchange, check, answers } = caller(timers, name, hopeless);
    assert.equal(await gate.admit(exchange, check), undefined);
    retryTimesMs.push(answers[0]?.retryAfterMs ?? 0);
  }
  assert.ok(retryTimesMs.every((retryAfterMs, index) => retryAfterMs >= 400 + 20 * index));
  assert.equal(lines[0]?.fields.reason, 'hopeless');
});
