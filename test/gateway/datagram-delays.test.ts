/** Guards against datagrams that arrive late without a word in the log. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEPARTURE_EVENTS } from '../../src/core/logging/catalogue/departures.js';
import type { LogEvent } from '../../src/core/logging/log-event.js';
import { ClockExchange } from '../../src/shell/gateway/clock-exchange.js';
import type { ClockMessage } from '../../src/shell/gateway/clock-message-fields.js';
import { DatagramDelays } from '../../src/shell/gateway/datagram-delays.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { ManualTimers } from './support/manual-timers.js';

const LATE_MS = 500;

interface Line {
  readonly event: LogEvent;
  readonly fields: object;
}

/** Two daemons whose messages arrive after a delay; the clock of the sender began 70 s earlier. */
class Pair {
  readonly lines: Line[] = [];
  readonly timers = new ManualTimers();
  readonly delays = new DatagramDelays({
    lateMs: LATE_MS,
    timers: this.timers,
    metrics: { recordDatagramDelay: () => undefined },
    log: { write: (event, fields) => this.lines.push({ event, fields: fields ?? {} }) },
  });
  readonly #receiver = new ClockExchange({
    daemon: 'front-1',
    incarnation: 1,
    timers: this.timers,
    datingTimers: this.timers,
    delays: this.delays,
  });
  readonly #sender = new ClockExchange({
    daemon: 'front-2',
    incarnation: 2,
    timers: { nowMs: () => this.timers.nowMs() + 70_000 },
    datingTimers: this.timers,
    delays: { record: () => undefined },
  });

  /** A message is sent, and arrives after a delay. @returns how long ago it was sent at most */
  arrive(delayMs: number): number {
    const stamp = this.#sender.stamp();
    this.timers.advance(delayMs);
    const questions: ClockMessage[] = [];
    const ask = (question: ClockMessage) => void questions.push(question);
    const sentAfterMs = this.#receiver.sentAfterMs('tables', stamp, ask);
    for (const question of questions) {
      this.#sender.handleMessage(overWire(question), (answer) =>
        this.#receiver.handleMessage(overWire(answer), () => undefined),
      );
    }
    return this.timers.nowMs() - sentAfterMs;
  }
}

function overWire(message: ClockMessage): ClockMessage {
  const decoded = decodePeerMessage(encodePeerMessage(message));
  assert.ok(decoded?.kind === 'clock-asked' || decoded?.kind === 'clock-answered');
  return decoded;
}

test('the first late datagram of a daemon is logged, and the first that is not late again', () => {
  const pair = new Pair();
  assert.equal(pair.arrive(3), Number.POSITIVE_INFINITY, 'the clock of the sender is not known');
  for (const delayMs of [5, 900, 2_000, 4]) {
    const agoMs = pair.arrive(delayMs);
    assert.ok(agoMs >= delayMs && agoMs < delayMs + 5, `${agoMs} ms`);
  }
  assert.deepEqual(
    pair.lines.map(({ event }) => event),
    [DEPARTURE_EVENTS.datagramsLate, DEPARTURE_EVENTS.datagramsPunctual],
  );
  assert.ok(pair.delays.takeWorstMs() >= 2_000);
  assert.equal(pair.delays.takeWorstMs(), 0);
});

test('an answer to an earlier life of this daemon is ignored', () => {
  const pair = new Pair();
  const stamp = { daemon: 'front-2', incarnation: 2, clockMs: 0 };
  const exchange = new ClockExchange({
    daemon: 'front-1',
    incarnation: 7,
    timers: pair.timers,
    datingTimers: pair.timers,
    delays: pair.delays,
  });
  pair.timers.advance(1_000);
  const answer = { kind: 'clock-answered', incarnation: 6, askedAtMs: 900, stamp } as const;
  exchange.handleMessage(answer, () => undefined);
  const sentAfterMs = exchange.sentAfterMs('tables', stamp, () => undefined);
  assert.equal(sentAfterMs, Number.NEGATIVE_INFINITY);
});
