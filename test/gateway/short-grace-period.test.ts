/** Guards against a stop that waits for the close of its listener until after the time at which it has to cut what runs. */
import assert from 'node:assert/strict';
import http from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { GatewayStop } from '../../src/shell/gateway/gateway-stop.js';
import { ManualTimers } from './support/manual-timers.js';

const SHORT_GRACE_MS = 4_000;
/** Half of the grace period, the most that counts. */
const SIGNAL_AGE_MS = 2_000;

let server: http.Server;

beforeEach(async () => {
  server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => server.close());

test('a short grace period that has begun before the signal was handled is not exceeded by the notice', () => {
  const timers = new ManualTimers();
  const { times } = new GatewayStop({
    graceMs: SHORT_GRACE_MS,
    signalAgeMs: SIGNAL_AGE_MS,
    callers: {
      server,
      inFlight: 0,
      openRequests: { all: () => [], total: 0 },
      connections: { open: 0 },
      endRunning: () => undefined,
      answerLeft: () => undefined,
    } as unknown as ConstructorParameters<typeof GatewayStop>[0]['callers'],
    codec: { describe: () => undefined },
    timers,
    log: { write: () => undefined },
    metrics: { recordCutByStop: () => undefined },
  });
  assert.ok(times.cutAtMs < timers.nowMs() + SHORT_GRACE_MS - SIGNAL_AGE_MS);
  assert.ok(times.listenerClosesAtMs <= times.cutAtMs);
});
