/** What drives the waiting room: events, callers that leave, a stop, and a timer as the backstop. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Placement } from '../../src/core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import type { AdmissionCheck } from '../../src/shell/gateway/admission-check.js';
import { AdmissionGate } from '../../src/shell/gateway/admission-gate.js';
import type { Exchange } from '../../src/shell/gateway/exchange.js';
import { ManualTimers } from './support/manual-timers.js';

const GO: Placement = { kind: 'go', slackMs: 200 };
const WAIT: Placement = { kind: 'wait', slackMs: 200, roomInMs: 60 };

interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** A room with what is seen of it. */
function setUp() {
  const timers = new ManualTimers();
  const lines: { event: LogEvent; fields: LogFields }[] = [];
  const waits: number[] = [];
  const refusals: string[] = [];
  const room = new AdmissionGate({
    isOn: true,
    timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
    metrics: {
      recordWait: (_rank, waitedMs) => waits.push(waitedMs),
      recordCapacityRefusal: (reason, rank) => refusals.push(`${reason} ${rank}`),
    },
  });
  return { room, timers, lines, waits, refusals };
}

/** A request whose place a test sets. */
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
    remainingMs: () => 5_000,
    refuse: (reason: string, retryAfterMs: number) => answers.push({ reason, retryAfterMs }),
  } as unknown as Exchange;
  const state = { placement: first, reserved: 0 };
  const ask: AdmissionCheck = {
    lane: 'reader/read',
    costMs: 50,
    spacingMs: 20,
    isSentAtHoldLimit,
    place: () => state.placement,
    inputs: () => ({ queueMs: 300, sumsAgeMs: 80 }),
    reserve: () => {
      state.reserved += 1;
      return () => {
        state.reserved -= 1;
      };
    },
  };
  return { exchange, ask, state, answers, left };
}

test('with room a request goes at once and holds its place until it is sent', async () => {
  const { room, timers, lines } = setUp();
  const { exchange, ask, state } = caller(timers, 'a', GO);
  const leave = await room.admit(exchange, ask);
  assert.equal(state.reserved, 1);
  leave?.();
  assert.equal(state.reserved, 0);
  assert.deepEqual(lines, []);
});

test('a waiting request goes with the event that brings room, with a line of its wait', async () => {
  const { room, timers, lines, waits } = setUp();
  const { exchange, ask, state } = caller(timers, 'a', WAIT);
  const passed = room.admit(exchange, ask);
  assert.equal(room.waiting, 1);
  timers.advance(30);
  assert.equal(room.waiting, 1);
  state.placement = GO;
  room.wake();
  assert.notEqual(await passed, undefined);
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

test('without an event the room looks by itself when room is expected', async () => {
  const { room, timers } = setUp();
  const { exchange, ask, state } = caller(timers, 'a', WAIT);
  const passed = room.admit(exchange, ask);
  state.placement = GO;
  timers.advance(59);
  assert.equal(room.waiting, 1);
  timers.advance(1);
  assert.notEqual(await passed, undefined);
});

test('what was held as long as it may be is refused, or goes where that is asked for', async () => {
  const { room, timers, refusals, lines } = setUp();
  const refused = caller(timers, 'a', WAIT);
  const sent = caller(timers, 'b', WAIT, true);
  const passed = [refused, sent].map(({ exchange, ask }) => room.admit(exchange, ask));
  timers.advance(200);
  const [first, second] = await Promise.all(passed);
  assert.equal(first, undefined);
  assert.notEqual(second, undefined);
  assert.deepEqual(refusals, ['no room came 1']);
  assert.ok((refused.answers[0]?.retryAfterMs ?? 0) > 0);
  const line = lines.find(({ event }) => event === GATEWAY_EVENTS.requestTurnedAway);
  assert.equal(line?.fields.waitedMs, 200);
  assert.equal(room.waiting, 0);
});

test('a caller that leaves frees its place at once, and is given no answer', async () => {
  const { room, timers, refusals } = setUp();
  const { exchange, ask, left, answers } = caller(timers, 'a', WAIT);
  const passed = room.admit(exchange, ask);
  left.abort();
  assert.equal(await passed, undefined);
  assert.equal(room.waiting, 0);
  assert.deepEqual([refusals, answers], [[], []]);
});

test('a stopping daemon empties its room and holds nobody any more, but lets go what has room', async () => {
  const { room, timers, refusals } = setUp();
  const waiting = caller(timers, 'a', WAIT);
  const passed = room.admit(waiting.exchange, waiting.ask);
  room.beginStop();
  assert.equal(await passed, undefined);
  assert.equal(waiting.answers.length, 1);
  const late = caller(timers, 'b', WAIT);
  assert.equal(await room.admit(late.exchange, late.ask), undefined);
  const free = caller(timers, 'c', GO);
  assert.notEqual(await room.admit(free.exchange, free.ask), undefined);
  assert.deepEqual(refusals, ['stopping 1', 'stopping 1']);
  assert.equal(room.waiting, 0);
});

test('a hopeless request is refused at once, with a time to come back after room is expected', async () => {
  const { room, timers, lines } = setUp();
  const hopeless: Placement = { kind: 'refuse', reason: 'hopeless', roomInMs: 400 };
  const told: number[] = [];
  for (const name of ['a', 'b', 'c']) {
    const { exchange, ask, answers } = caller(timers, name, hopeless);
    assert.equal(await room.admit(exchange, ask), undefined);
    told.push(answers[0]?.retryAfterMs ?? 0);
  }
  assert.ok(told.every((retryAfterMs, index) => retryAfterMs >= 400 + 20 * index));
  assert.equal(lines[0]?.fields.reason, 'hopeless');
});
