/** Guards against a log that a crowd of callers fills, and against refusals that no line or counter tells of. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { RESOURCE_EVENTS } from '../../src/core/logging/catalogue/resources.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { CallerRefusals } from '../../src/shell/gateway/caller-refusals.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { ManualTimers } from './support/manual-timers.js';

const LINE_INTERVAL_MS = 10_000;

let timers: ManualTimers;
let metrics: GatewayMetrics;
let lines: { readonly event: LogEvent; readonly fields: LogFields }[];
let refusals: CallerRefusals;

beforeEach(() => {
  timers = new ManualTimers();
  metrics = new GatewayMetrics();
  lines = [];
  refusals = new CallerRefusals({
    timers,
    metrics,
    log: { write: (event: LogEvent, fields: LogFields = {}) => lines.push({ event, fields }) },
  });
});

test('a crowd is counted in one line with what it held', () => {
  for (let caller = 0; caller < 50; caller += 1) refusals.record('body-evicted', 1_000);
  timers.advance(LINE_INTERVAL_MS);
  assert.deepEqual(lines, [
    {
      event: RESOURCE_EVENTS.bodiesEvicted,
      fields: { reason: 'body-evicted', callers: 50, heldBytes: 50_000 },
    },
  ]);
});

test('each reason has a line at most each ten seconds, and no caller is left out', () => {
  for (let second = 0; second < 30; second += 1) {
    refusals.record('body-evicted', 1);
    refusals.record('body-timed-out', 1);
    timers.advance(1_000);
  }
  timers.advance(LINE_INTERVAL_MS);
  const ofOne = lines.filter(({ event }) => event === RESOURCE_EVENTS.bodiesEvicted);
  assert.ok(ofOne.length <= 5, `${ofOne.length}`);
  const counted = ofOne.reduce((sum, { fields }) => sum + Number(fields.callers), 0);
  assert.equal(counted, 30);
  assert.equal(lines.length, 2 * ofOne.length);
});

test('the counter tells each reason', async () => {
  refusals.record('body-timed-out', 1);
  refusals.record('body-timed-out', 1);
  const text = await metrics.text();
  assert.match(text, /threadfork_gateway_caller_refusals_total\{reason="body-timed-out"\} 2/);
});
