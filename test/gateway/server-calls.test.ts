/** Guards against requests that are sent to a server that has departed since it was chosen. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import type { ServerRecord } from '../../src/core/gateway/index.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import type { CallResult } from '../../src/shell/gateway/backend-connections.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { type ServerCall, ServerCalls } from '../../src/shell/gateway/server-calls.js';
import { quietDepartureReports } from './support/departure-reports.js';
import { ManualTimers } from './support/manual-timers.js';
import { SERVER } from './support/server-record.js';

const DRAIN_MS = 2_000;

/** Calls of a daemon whose list a test changes; no call is answered. */
class ListedCalls {
  readonly timers = new ManualTimers();
  readonly fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, DRAIN_MS, () =>
    this.timers.nowMs(),
  );
  readonly calls: ServerCalls;
  sent = 0;
  result: CallResult = { kind: 'not-sent', reason: 'refused', connectTimedOut: false };
  /** Failures that count against the path to the servers. */
  pathFailures = 0;

  constructor() {
    this.fleet.directory.replaceAll([SERVER]);
    const adapter = createPlatformAdapter(ANSWER_READING, { host: '127.0.0.1', port: 1 });
    this.calls = new ServerCalls({
      reports: quietDepartureReports(this.fleet, this.timers),
      stalls: { whenCurrent: () => undefined },
      connections: {
        call: async () => {
          this.sent += 1;
          return this.result;
        },
      },
      fleet: this.fleet,
      paths: {
        recordConnected: () => undefined,
        recordFailure: () => {
          this.pathFailures += 1;
        },
      },
      codec: adapter.requests,
      timers: this.timers,
      wallClock: () => this.timers.nowMs(),
      metrics: new GatewayMetrics(),
      log: { write: () => undefined },
      onLimitChange: () => undefined,
    });
  }

  /** Lists the server anew, as a row that has just been read and changed at most `changedWithinMs` ago. */
  list(fields: Partial<ServerRecord>, changedWithinMs = 0): void {
    const change = this.fleet.directory.apply([{ ...SERVER, ...fields }], []);
    const nowMs = this.timers.nowMs();
    const changedAfterMs = nowMs - changedWithinMs;
    const origin = { source: 'store', era: 0, revision: 1, changedAfterMs } as const;
    this.fleet.departures.recordChange(change, origin);
  }

  /** Calls the server as it was when it was chosen. */
  call(fields: Partial<ServerCall> = {}) {
    return this.calls.call({
      server: SERVER,
      purpose: 'run',
      request: 'r1',
      method: 'POST',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      mayKeepConnection: false,
      connectTimeoutMs: 100,
      signal: new AbortController().signal,
      ...fields,
    });
  }
}

const CHANGES: readonly (readonly [string, (calls: ListedCalls) => void])[] = [
  ['drains', (calls) => calls.list({ state: 'draining' })],
  ['is gone', (calls) => calls.fleet.directory.apply([], [SERVER.id])],
  ['has another boot', (calls) => calls.list({ bornMs: 2 })],
];

for (const [what, change] of CHANGES) {
  for (const purpose of ['run', 'prefill'] as const) {
    test(`no ${purpose} is sent to a server that ${what} since it was chosen`, async () => {
      const calls = new ListedCalls();
      change(calls);
      assert.equal((await calls.call({ purpose })).kind, 'held-back');
      assert.equal(calls.sent, 0);
    });
  }
}

test('a call that brings no work is made to a server that drains', async () => {
  const calls = new ListedCalls();
  calls.list({ state: 'draining' });
  await calls.call({ purpose: 'free-memory' });
  assert.equal(calls.sent, 1);
});

test('a stream that has begun is resumed at a server that drains, until half of its drain time is over', async () => {
  const calls = new ListedCalls();
  calls.list({ state: 'draining' });
  await calls.call({ continuesStream: true });
  assert.equal(calls.sent, 1);
  calls.timers.advance(DRAIN_MS / 2 + 1);
  assert.equal((await calls.call({ continuesStream: true })).kind, 'held-back');
  assert.equal(calls.sent, 1);
});

test('a stream is not resumed at a server that may have drained for half of its drain time before this daemon learned of it', async () => {
  const calls = new ListedCalls();
  calls.list({ state: 'draining' }, DRAIN_MS / 4);
  await calls.call({ continuesStream: true });
  assert.equal(calls.sent, 1);
  calls.timers.advance(DRAIN_MS / 4 + 1);
  assert.equal((await calls.call({ continuesStream: true })).kind, 'held-back');
  assert.equal(calls.sent, 1);
});

// Guards against a daemon that counts as cut off, and forwards all requests, as it cannot send the bytes of one.
test('a call that cannot be sent says nothing of the path to its server', async () => {
  const listed = new ListedCalls();
  listed.list({ state: 'ready' });
  await listed.call();
  assert.equal(listed.pathFailures, 1);
  listed.result = { ...listed.result, isUnsendable: true } as CallResult;
  await listed.call();
  assert.equal(listed.pathFailures, 1);
});
