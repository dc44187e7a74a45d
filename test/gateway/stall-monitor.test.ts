/** Guards against a process that stood still and does not notice before it sends requests. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { DEPARTURE_EVENTS } from '../../src/core/logging/catalogue/departures.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { StallMonitor } from '../../src/shell/gateway/stall-monitor.js';
import { deferred } from './support/deferred.js';
import { ManualTimers } from './support/manual-timers.js';

const MIN_STALL_MS = 500;
const STALL_MS = 3_000;

let timers: ManualTimers;
let stalls: number;
let processorMs: number;
let lines: { readonly event: LogEvent; readonly fields: LogFields }[];
let monitor: StallMonitor;
let recovered: ReturnType<typeof deferred<void>>;

beforeEach(() => {
  timers = new ManualTimers();
  stalls = 0;
  processorMs = 700;
  lines = [];
  recovered = deferred<void>();
  monitor = new StallMonitor({
    minStallMs: MIN_STALL_MS,
    recover: () => {
      stalls += 1;
      return recovered.promise;
    },
    processorMs: () => processorMs,
    timers,
    steadyClock: timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
  });
  monitor.start();
});

test('a stall is noticed before any timer fires, and reported once', () => {
  timers.advance(1_000);
  timers.stall(STALL_MS);
  assert.ok(monitor.whenCurrent());
  assert.equal(stalls, 1);
  assert.equal(lines[0]?.event, DEPARTURE_EVENTS.stoodStill);
  assert.ok(Number(lines[0]?.fields.stalledMs) >= STALL_MS - 100);
  assert.ok(monitor.whenCurrent());
  timers.advance(1_000);
  assert.equal(stalls, 1);
});

test('a stall says how long the process itself was busy', () => {
  timers.advance(1_000);
  processorMs += 2_900;
  timers.stall(STALL_MS);
  timers.advance(1);
  processorMs += 40;
  timers.advance(1_000);
  timers.stall(STALL_MS);
  timers.advance(1);
  assert.deepEqual(
    lines.map(({ fields }) => fields.busyMs),
    [2_900, 0],
  );
});

test('what a process knows is relied on again once it is up to date', async () => {
  timers.stall(STALL_MS);
  const current = monitor.whenCurrent();
  recovered.resolve();
  await current;
  assert.equal(monitor.whenCurrent(), undefined);
});

test('a stall that no request ends is noticed by the late timer', () => {
  timers.stall(STALL_MS);
  timers.advance(1);
  assert.equal(stalls, 1);
});

test('a process that runs reports no stall', () => {
  timers.advance(60_000);
  timers.stall(MIN_STALL_MS / 2);
  timers.advance(60_000);
  assert.equal(stalls, 0);
});

test('what is handled right after a stall may have come at its beginning', () => {
  timers.advance(1_000);
  assert.equal(monitor.lateMs(), 0);
  timers.stall(STALL_MS);
  assert.ok(monitor.lateMs() >= STALL_MS - 100);
  timers.advance(1);
  assert.ok(monitor.lateMs() >= STALL_MS - 100);
  timers.advance(200);
  assert.equal(monitor.lateMs(), 0);
});

test('a request that is handled first does not hide a stall from what is handled next', () => {
  timers.advance(1_000);
  timers.stall(STALL_MS);
  assert.ok(monitor.whenCurrent());
  timers.advance(1);
  assert.ok(monitor.lateMs() >= STALL_MS - 100);
});
