/** Guards against a process that V8 ends at its heap limit without a word of what held the memory. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { RESOURCE_EVENTS } from '../../src/core/logging/catalogue/resources.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import {
  openSockets,
  ResourceMonitor,
  readHeap,
} from '../../src/shell/gateway/resource-monitor.js';
import { ManualTimers } from './support/manual-timers.js';

const MEGABYTE = 1_048_576;
const HOLDERS = {
  requestsInFlight: 7,
  bodyBytes: 700_000,
  answerBytes: 60_000,
  answerObjects: 50_000,
  streamRecords: 3,
  cachedParts: 90,
};

let timers: ManualTimers;
let usedMb: number;
let lines: { readonly event: LogEvent; readonly fields: LogFields }[];
let monitor: ResourceMonitor;

beforeEach(() => {
  timers = new ManualTimers();
  usedMb = 20;
  lines = [];
  monitor = new ResourceMonitor({
    readHeap: () => ({ usedBytes: usedMb * MEGABYTE, limitBytes: 100 * MEGABYTE }),
    holders: () => HOLDERS,
    timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
  });
  monitor.start();
});

test('a heap near its limit is logged with what holds it', () => {
  timers.advance(1_000);
  usedMb = 81;
  timers.advance(100);
  assert.equal(lines.length, 1);
  assert.equal(lines[0]?.event, RESOURCE_EVENTS.heapNearLimit);
  const { heapMb, limitMb, requestsInFlight, bodyBytes, answerObjects } = lines[0]?.fields ?? {};
  assert.deepEqual({ heapMb, limitMb }, { heapMb: 81, limitMb: 100 });
  assert.deepEqual(
    { requestsInFlight, bodyBytes, answerObjects },
    { requestsInFlight: 7, bodyBytes: 700_000, answerObjects: 50_000 },
  );
});

test('a heap that stays near its limit is logged every ten seconds at most', () => {
  usedMb = 95;
  timers.advance(9_900);
  assert.equal(lines.length, 1);
  timers.advance(60_000);
  assert.equal(lines.length, 7);
});

test('a heap with room is not logged', () => {
  usedMb = 79;
  timers.advance(60_000);
  assert.deepEqual(lines, []);
});

test('requests that were rejected for want of memory are logged together', () => {
  monitor.recordRejected();
  timers.advance(100);
  for (let request = 0; request < 500; request += 1) monitor.recordRejected();
  timers.advance(9_000);
  assert.equal(lines.length, 1);
  timers.advance(60_000);
  assert.deepEqual(
    lines.map(({ event, fields }) => [event, fields.rejected]),
    [
      [RESOURCE_EVENTS.requestsBeyondResources, 1],
      [RESOURCE_EVENTS.requestsBeyondResources, 500],
    ],
  );
});

test('connections that were closed at once are logged together', () => {
  for (let connection = 0; connection < 300; connection += 1) monitor.recordDropped();
  timers.advance(1_000);
  monitor.recordDropped();
  timers.advance(1_000);
  assert.equal(lines.length, 1);
  assert.equal(lines[0]?.event, RESOURCE_EVENTS.connectionsDropped);
  assert.equal(lines[0]?.fields.dropped, 300);
});

test('the worst lateness of the event loop is reported once', () => {
  timers.advance(1_000);
  timers.stall(2_500);
  timers.advance(1_000);
  assert.equal(monitor.takeWorstLateMs(), 2_400);
  assert.equal(monitor.takeWorstLateMs(), 0);
});

test('a monitor that was stopped reads nothing more', () => {
  monitor.stop();
  usedMb = 99;
  timers.advance(60_000);
  assert.deepEqual(lines, []);
});

test('the memory of the process is read by kind, with the most that the heap has used', () => {
  usedMb = 60;
  timers.advance(100);
  usedMb = 30;
  const kinds = monitor.memoryBytes();
  assert.equal(kinds.get('heap-used'), 30 * MEGABYTE);
  assert.equal(kinds.get('heap-used-most'), 60 * MEGABYTE);
  assert.equal(kinds.get('heap-limit'), 100 * MEGABYTE);
  for (const kind of ['heap-total', 'external', 'array-buffers', 'resident']) {
    assert.ok(Number(kinds.get(kind)) > 0, kind);
  }
  const metrics = new GatewayMetrics();
  metrics.addLabelledGauge('memory', 'help', 'kind', () => monitor.memoryBytes());
  return metrics.text().then((text) => assert.match(text, /memory\{kind="heap-limit"\} 104857600/));
});

test('the heap and the open sockets of this process can be read', () => {
  const { usedBytes, limitBytes } = readHeap();
  assert.ok(usedBytes > 0 && usedBytes < limitBytes);
  assert.ok(openSockets() >= 0);
});
