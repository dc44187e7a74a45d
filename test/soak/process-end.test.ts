/**
 * Guards against ends of daemons that a soak cannot see: a process that a SIGHUP ended at its start counted as no end of its
 * own, as it left no exit code.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { causeOfEnd, type DaemonSignal, type EndedProcess } from '../../soak/process-end.js';

function ended(fields: Partial<EndedProcess>, ...sent: readonly DaemonSignal[]): EndedProcess {
  return { exitCode: null, signal: null, hasBegun: true, sent: new Set(sent), ...fields };
}

test('a process that exits was asked to only if a stop was and its code is 0', () => {
  assert.equal(causeOfEnd(ended({ exitCode: 0 }, 'SIGTERM')), 'requested');
  assert.equal(causeOfEnd(ended({ exitCode: 0 }, 'SIGINT')), 'requested');
  assert.equal(causeOfEnd(ended({ exitCode: 1 }, 'SIGTERM')), 'own');
  assert.equal(causeOfEnd(ended({ exitCode: 0 })), 'own');
  assert.equal(causeOfEnd(ended({ exitCode: 0 }, 'SIGHUP')), 'own');
  assert.equal(causeOfEnd(ended({ exitCode: 2, hasBegun: false })), 'own');
});

test('a process that was killed ended by itself unless the soak killed it', () => {
  assert.equal(causeOfEnd(ended({ signal: 'SIGKILL' }, 'SIGKILL')), 'requested');
  assert.equal(causeOfEnd(ended({ signal: 'SIGKILL' }, 'SIGTERM', 'SIGKILL')), 'requested');
  assert.equal(causeOfEnd(ended({ signal: 'SIGKILL' })), 'own');
  assert.equal(causeOfEnd(ended({ signal: 'SIGABRT' }, 'SIGKILL')), 'own');
});

test('SIGHUP ends a daemon by itself once its program was being loaded, and before any of its code otherwise', () => {
  assert.equal(causeOfEnd(ended({ signal: 'SIGHUP' }, 'SIGHUP')), 'own');
  assert.equal(causeOfEnd(ended({ signal: 'SIGHUP', hasBegun: false }, 'SIGHUP')), 'before-code');
  assert.equal(causeOfEnd(ended({ signal: 'SIGHUP', hasBegun: false })), 'own');
});

test('a stop signal ends a daemon without a stop only before any of its code', () => {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    assert.equal(causeOfEnd(ended({ signal }, signal)), 'own');
    assert.equal(causeOfEnd(ended({ signal, hasBegun: false }, signal)), 'requested');
  }
});
