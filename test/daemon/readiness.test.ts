/** Conditions under which a daemon reports itself as ready. */
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

/** A daemon that has just started and has a configuration in force. */
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

test('a daemon with a configuration in force is not ready before an engine has reported', () => {
  const started = configured();
  assert.equal(
    readinessOf(started).ready,
    false,
    'daemon is ready before the machine list was read',
  );
  const listed = after(started, { kind: 'machines-listed', machines: [ENGINE] }, { kind: 'tick' });
  assert.equal(readinessOf(listed).ready, false, 'daemon is ready before any engine has reported');
  const report = { kind: 'engine-report', engine: 'e1', askedAt: 900, report: REPORT } as const;
  assert.deepEqual(readinessOf(after(listed, report)), { ready: true, reason: '' });
});

test('a daemon in a fleet without engines is ready without a report; a stopping daemon is not ready', () => {
  const listed = after(configured(), { kind: 'machines-listed', machines: [] });
  assert.equal(readinessOf(listed).ready, true);
  assert.equal(readinessOf(after(listed, { kind: 'stop' })).ready, false);
});
