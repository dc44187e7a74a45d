/** When a daemon says that it is ready. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EMPTY_CONFIGURATION } from '../../src/core/configuration/document.js';
import {
  createDaemonState,
  type DaemonEvent,
  type DaemonState,
  readinessOf,
  stepDaemon,
} from '../../src/core/daemon/index.js';
import type { EngineMachine } from '../../src/core/registry/backend.js';
import { report as engineReport } from '../routing/fixtures.js';

const ENGINE: EngineMachine = {
  kind: 'engine',
  name: 'e1',
  zone: 'z',
  state: 'live',
  address: '127.0.0.1',
  port: 2,
  accelerator: 'new',
};

const REPORT = engineReport('e1');

/** A daemon with a configuration in force that has just started. */
function configured(): DaemonState {
  const state = createDaemonState({
    name: 'd1',
    zone: 'z',
    incarnation: 1,
    peerEndpoint: { address: '127.0.0.1', port: 1 },
    seeds: [],
    maxWaitingPerClass: 1,
  });
  const inForce = { ...EMPTY_CONFIGURATION, version: 1 };
  return { ...state, configuration: { ...state.configuration, inForce, ready: true } };
}

function after(state: DaemonState, ...events: readonly DaemonEvent[]): DaemonState {
  return events.reduce(
    (current, event) => stepDaemon(current, event, { now: 1_000, entropy: 1 }).state,
    state,
  );
}

test('a daemon that knows no engine yet is not ready, though its configuration is in force', () => {
  const started = configured();
  assert.equal(readinessOf(started).ready, false, 'ready before the machine list was read');
  const listed = after(started, { kind: 'machines-listed', machines: [ENGINE] }, { kind: 'tick' });
  assert.equal(readinessOf(listed).ready, false, 'ready before any engine has reported');
  const report = { kind: 'engine-report', engine: 'e1', askedAt: 900, report: REPORT } as const;
  assert.deepEqual(readinessOf(after(listed, report)), { ready: true, reason: '' });
});

test('a fleet without engines needs no report, and a stopping daemon is never ready', () => {
  const listed = after(configured(), { kind: 'machines-listed', machines: [] });
  assert.equal(readinessOf(listed).ready, true);
  assert.equal(readinessOf(after(listed, { kind: 'stop' })).ready, false);
});
