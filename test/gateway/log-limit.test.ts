/** The limit of log lines dropped the lines of a process's stop when many requests were logged in the same second. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { PROCESS_EVENTS } from '../../src/core/logging/catalogue/process.js';
import { RESOURCE_EVENTS } from '../../src/core/logging/catalogue/resources.js';
import { STOP_EVENTS } from '../../src/core/logging/catalogue/stops.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { GatewayLog } from '../../src/shell/gateway/index.js';
import { ManualTimers } from './support/manual-timers.js';

const MAX_LINES = 10;
const MANY_LINES = 10_000;
const WINDOW_MS = 1_000;

let lines: { readonly event: LogEvent; readonly fields: LogFields }[];
let timers: ManualTimers;
let log: GatewayLog;

beforeEach(() => {
  lines = [];
  timers = new ManualTimers();
  const logger = {
    write: (event: LogEvent, fields: LogFields = {}) => lines.push({ event, fields }),
    flush: () => undefined,
  };
  log = new GatewayLog(logger, timers, MAX_LINES);
});

function countOf(event: LogEvent): number {
  return lines.filter((line) => line.event === event).length;
}

function writeMany(event: LogEvent): void {
  for (let line = 0; line < MANY_LINES; line += 1) log.write(event);
}

test('lines of a process come through while others are dropped', () => {
  writeMany(GATEWAY_EVENTS.requestRefused);
  const ofProcess: readonly LogEvent[] = [
    GATEWAY_EVENTS.started,
    GATEWAY_EVENTS.stopping,
    STOP_EVENTS.listenerClosed,
    GATEWAY_EVENTS.stopped,
    GATEWAY_EVENTS.settingsReloaded,
    GATEWAY_EVENTS.settingsRejected,
    ...Object.values(PROCESS_EVENTS),
    ...Object.values(RESOURCE_EVENTS),
  ];
  for (const event of ofProcess) log.write(event);
  assert.equal(countOf(GATEWAY_EVENTS.requestRefused), MAX_LINES);
  for (const event of ofProcess) assert.equal(countOf(event), 1, String(event.number));
});

test('requests that a stop cuts are named while others are dropped, and displace no line of the process', () => {
  writeMany(GATEWAY_EVENTS.requestRefused);
  log.write(STOP_EVENTS.requestCutByStop);
  assert.equal(countOf(STOP_EVENTS.requestCutByStop), 1);
  writeMany(STOP_EVENTS.requestCutByStop);
  log.write(GATEWAY_EVENTS.stopped);
  assert.equal(countOf(GATEWAY_EVENTS.stopped), 1);
});

for (const event of [STOP_EVENTS.requestCutByStop, PROCESS_EVENTS.signalReceived]) {
  test(`lines of event ${event.number} are limited too, and take nothing from other lines`, () => {
    writeMany(event);
    assert.ok(countOf(event) <= 500);
    assert.equal(log.droppedTotal, MANY_LINES - countOf(event));
    log.write(GATEWAY_EVENTS.requestRefused);
    assert.equal(countOf(GATEWAY_EVENTS.requestRefused), 1);
    timers.advance(WINDOW_MS);
    const before = countOf(event);
    log.write(event);
    assert.equal(countOf(event), before + 1);
  });
}

test('lines that were dropped in the last second of a process are counted in its log', () => {
  writeMany(GATEWAY_EVENTS.requestRefused);
  log.flush();
  const dropped = lines.find(({ event }) => event === GATEWAY_EVENTS.linesDropped);
  assert.equal(dropped?.fields.lines, MANY_LINES - MAX_LINES);
});
