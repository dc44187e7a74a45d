/** What a stopping daemon still takes: what certainly ends in time, and what is expected to while callers have not been told. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type DurationEstimate,
  endsBeforeCut,
  UNKNOWN_DURATION,
} from '../../src/core/gateway/index.js';

const STOP = { listenerClosesAtMs: 12_600, cutAtMs: 17_300 };
const LONG_DEADLINE_AT_MS = 60_000;

function learnt(durationMs: number): DurationEstimate {
  return { kind: 'learnt', durationMs };
}

// The deadline ends a request whatever its server does.
test('without a learnt estimate, a request is taken if its deadline is no later than the cut', () => {
  for (const nowMs of [10_000, 12_600, 17_299]) {
    const input = { stop: STOP, nowMs, estimate: UNKNOWN_DURATION };
    assert.equal(endsBeforeCut({ ...input, deadlineAtMs: 17_300 }), true);
    assert.equal(endsBeforeCut({ ...input, deadlineAtMs: 17_301 }), false);
  }
});

// Callers on new connections cannot know yet that the daemon stops.
test('until the listener closes, an estimate decides', () => {
  for (const deadlineAtMs of [LONG_DEADLINE_AT_MS, 15_000]) {
    const input = { stop: STOP, deadlineAtMs };
    assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: learnt(7_300) }), true);
    assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: learnt(7_301) }), false);
    assert.equal(endsBeforeCut({ ...input, nowMs: 12_599, estimate: learnt(1) }), true);
    const configured = { kind: 'configured', durationMs: 800 } as const;
    assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: configured }), true);
  }
});

// Engines change their pace, and callers on open connections have been told.
test('from the close of the listener on, only the deadline decides', () => {
  const input = { stop: STOP, nowMs: 12_600 };
  const soon = { ...input, estimate: learnt(0) };
  assert.equal(endsBeforeCut({ ...soon, deadlineAtMs: LONG_DEADLINE_AT_MS }), false);
  assert.equal(endsBeforeCut({ ...soon, deadlineAtMs: 17_300 }), true);
  const late = { ...input, estimate: learnt(30_000) };
  assert.equal(endsBeforeCut({ ...late, deadlineAtMs: 17_300 }), true);
});

// A daemon that has served nothing knows nothing of its servers.
test('an estimate that is not learnt is no promise', () => {
  const input = { stop: STOP, deadlineAtMs: LONG_DEADLINE_AT_MS, nowMs: 10_000 };
  assert.equal(endsBeforeCut({ ...input, estimate: UNKNOWN_DURATION }), false);
});
