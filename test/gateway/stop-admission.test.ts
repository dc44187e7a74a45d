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

/** An estimate whose long runs take this long. */
function learnt(longMs: number): DurationEstimate {
  return { kind: 'learnt', expectedMs: longMs / 2, longMs };
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
test('until the listener closes, an estimate of a long run is a promise too', () => {
  const input = { stop: STOP, deadlineAtMs: LONG_DEADLINE_AT_MS };
  assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: learnt(7_300) }), true);
  assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: learnt(7_301) }), false);
  assert.equal(endsBeforeCut({ ...input, nowMs: 12_599, estimate: learnt(1) }), true);
  const configured = { kind: 'configured', expectedMs: 200, longMs: 800 } as const;
  assert.equal(endsBeforeCut({ ...input, nowMs: 10_000, estimate: configured }), true);
});

// Guards against the refusal of requests that certainly end in time, as a long run would not.
test('a request whose deadline comes before the cut is taken where a usual run meets it', () => {
  for (const nowMs of [10_000, 12_600]) {
    const input = { stop: STOP, nowMs, deadlineAtMs: 17_300 };
    const leftMs = 17_300 - nowMs;
    assert.equal(endsBeforeCut({ ...input, estimate: learnt(2 * leftMs) }), true);
    assert.equal(endsBeforeCut({ ...input, estimate: learnt(2 * leftMs + 2) }), false);
  }
});

// Engines change their pace, and callers on open connections have been told.
test('from the close of the listener on, only a deadline before the cut is a promise', () => {
  const input = { stop: STOP, nowMs: 12_600, estimate: learnt(0) };
  assert.equal(endsBeforeCut({ ...input, deadlineAtMs: LONG_DEADLINE_AT_MS }), false);
  assert.equal(endsBeforeCut({ ...input, deadlineAtMs: 17_300 }), true);
});

// A daemon that has served nothing knows nothing of its servers.
test('an estimate that is not learnt is no promise', () => {
  const input = { stop: STOP, deadlineAtMs: LONG_DEADLINE_AT_MS, nowMs: 10_000 };
  assert.equal(endsBeforeCut({ ...input, estimate: UNKNOWN_DURATION }), false);
});
