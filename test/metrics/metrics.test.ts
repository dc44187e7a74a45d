import assert from 'node:assert/strict';
import { test } from 'node:test';
import { refusedNotRun } from '../../src/core/errors/fault.js';
import type { EngineView } from '../../src/core/registry/backend.js';
import type { RequestDescription, RequestNotice } from '../../src/core/requests/index.js';
import { createMetrics, type FleetSample, type Metrics } from '../../src/shell/metrics/index.js';

const DESCRIPTION: RequestDescription = {
  id: 'r1',
  tenant: 'leiden',
  className: 'interactive',
  target: { kind: 'web', service: 'tiles' },
  streamed: true,
  repeatable: true,
  idempotencyKey: null,
  bodyDigest: null,
  arrivedAt: 1_000,
  deadline: 9_000,
};

const VIEW: EngineView = {
  machine: {
    kind: 'engine',
    name: 'e1',
    zone: 'leiden-a',
    state: 'live',
    address: '127.0.0.1',
    port: 1,
    accelerator: 'new',
  },
  report: {
    engine: 'e1',
    boot: 'b1',
    role: 'decode',
    intake: 'open',
    busy: false,
    leaving: false,
    models: [],
    fence: null,
    lastOrder: null,
    maxBatch: 8,
    activeRequests: 0,
    load: {
      ageMs: 0,
      running: 0,
      queued: 0,
      queuedPrefillTokens: 0,
      kvUsed: 0,
      prefillTokensPerSecond: 0,
      decodeStepMs: 0,
    },
  },
  reportedAt: 4_500,
  grantedUntil: 6_000,
  watcher: null,
};

function started(description: RequestDescription): RequestNotice {
  return { kind: 'attempt-started', description, attempt: `${description.id}.1`, backend: 'e1' };
}

function ended(description: RequestDescription, attempts = 1): RequestNotice {
  return {
    kind: 'request-ended',
    description,
    result: 'answered',
    attempts,
    promptTokens: 50,
    outputTokens: 11,
  };
}

async function lines(metrics: Metrics): Promise<readonly string[]> {
  return (await metrics.text()).split('\n').filter((line) => line.startsWith('threadfork_'));
}

test('an answered request counts its result, times, tokens and retries', async () => {
  const metrics = createMetrics({ sample: () => null });
  const firstByte = { kind: 'first-byte', attempt: 'r1.1', status: 200 } as const;
  metrics.recordRequestNotice(started(DESCRIPTION), 1_000);
  metrics.recordAttemptEvent('r1', firstByte, 1_500);
  metrics.recordRequestNotice(ended(DESCRIPTION, 3), 2_000);
  // Late news of a forgotten request leaves nothing behind.
  metrics.recordAttemptEvent('r1', firstByte, 3_000);
  const found = await lines(metrics);
  for (const expected of [
    'threadfork_requests_total{class="interactive",result="answered"} 1',
    'threadfork_retries_total{class="interactive"} 2',
    'threadfork_output_tokens_total{class="interactive"} 11',
    'threadfork_first_byte_seconds_sum{class="interactive"} 0.5',
    'threadfork_answer_seconds_sum{class="interactive"} 1',
    'threadfork_token_interval_seconds_sum{class="interactive"} 0.05',
  ]) {
    assert.ok(found.includes(expected), expected);
  }
});

test('gauges show the sample of the moment they are read', async () => {
  const sample: FleetSample = {
    now: 5_000,
    requestsInFlight: 3,
    requestsWaiting: 2,
    heldBodyBytes: 10,
    peerBytesSent: 11,
    peerBytesReceived: 12,
    configurationVersion: 7,
    highestConfigurationVersion: 8,
    engines: [VIEW, { ...VIEW, grantedUntil: 5_000 }],
    leases: [{ resource: 'controller/labels@leiden-a', epoch: 4 }],
    daemonsPresent: 4,
  };
  let current = sample;
  const metrics = createMetrics({ sample: () => current });
  const found = await lines(metrics);
  for (const expected of [
    'threadfork_requests_in_flight 3',
    'threadfork_configuration_version 7',
    'threadfork_engines{role="decode",state="open"} 1',
    'threadfork_engines{role="decode",state="closed"} 1',
    'threadfork_engine_report_age_seconds{quantile="1"} 0.5',
    'threadfork_lease_epoch{resource="controller/labels@leiden-a"} 4',
  ]) {
    assert.ok(found.includes(expected), expected);
  }
  current = { ...sample, leases: [], engines: [] };
  const later = (await lines(metrics)).join('\n');
  assert.doesNotMatch(later, /lease_epoch\{|engines\{/);
});

test('faults, orders and table calls are counted by kind', async () => {
  const metrics = createMetrics({ sample: () => null });
  metrics.recordFault(refusedNotRun('overloaded', 'Too busy. Retry later.'));
  metrics.recordTableCall({ kind: 'get', keys: ['a'] }, { kind: 'lost', reason: 'reset' });
  metrics.recordOrder(
    {
      id: 'o1',
      engine: 'e1',
      boot: 'b1',
      fence: { epoch: 1, sequence: 1 },
      action: { kind: 'set-role', role: 'decode' },
      onlyIfIdle: true,
    },
    { kind: 'refused', reason: 'stale-fence', fence: null, boot: 'b1' },
  );
  const found = await lines(metrics);
  for (const expected of [
    'threadfork_faults_total{code="overloaded",outcome="refused-not-run"} 1',
    'threadfork_table_calls_total{call="get",result="lost"} 1',
    'threadfork_orders_total{action="set-role",answer="stale-fence"} 1',
  ]) {
    assert.ok(found.includes(expected), expected);
  }
});

test('a thousand classes make a bounded number of series and no tenant is named', async () => {
  const metrics = createMetrics({ sample: () => null });
  for (let index = 0; index < 1_000; index += 1) {
    const description = { ...DESCRIPTION, id: `r${index}`, className: `class-${index}` };
    metrics.recordRequestNotice(ended(description), 2_000);
  }
  const found = await lines(metrics);
  assert.ok(found.length < 1_000, String(found.length));
  assert.ok(found.some((line) => line.includes('class="other"')));
  assert.doesNotMatch(found.join('\n'), /leiden/);
});
