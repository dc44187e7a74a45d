/** Behaviour of a daemon while others have a newer configuration version in force. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { NewestPeerVersion } from '../../src/shell/gateway/newest-peer-version.js';
import { ManualTimers } from './support/manual-timers.js';

const GRACE_MS = 1_000;

function daemon() {
  const timers = new ManualTimers();
  const state = { inForce: 4, rereads: 0 };
  const lines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
  const newest = new NewestPeerVersion({
    inForce: () => state.inForce,
    reread: () => (state.rereads += 1),
    graceMs: GRACE_MS,
    timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
  });
  const putInForce = (version: number) => {
    state.inForce = version;
    newest.recordInForce(version);
  };
  return { timers, state, lines, newest, putInForce };
}

test('a version that comes into force within the grace time causes no reread and no log line', () => {
  const { timers, state, lines, newest, putInForce } = daemon();
  newest.record(5, 'b');
  timers.advance(GRACE_MS - 1);
  putInForce(5);
  timers.advance(10 * GRACE_MS);
  assert.equal(state.rereads, 0);
  assert.deepEqual(lines, []);
});

test('a daemon that stays behind logs it once, rereads, and logs for how long when it has caught up', () => {
  const { timers, state, lines, newest, putInForce } = daemon();
  newest.record(6, 'b');
  newest.record(5, 'c');
  timers.advance(GRACE_MS);
  assert.equal(state.rereads, 1);
  timers.advance(2 * GRACE_MS);
  assert.equal(state.rereads, 2);
  putInForce(5);
  assert.equal(lines.length, 1, 'the older of two newer versions does not end being behind');
  putInForce(6);
  assert.deepEqual(
    lines.map(({ event }) => event),
    [GATEWAY_EVENTS.configurationBehind, GATEWAY_EVENTS.configurationCaughtUp],
  );
  const [behind, caughtUp] = lines;
  assert.deepEqual(behind?.fields, {
    configurationVersion: 4,
    heardVersion: 6,
    from: 'b',
    heardForMs: GRACE_MS,
  });
  assert.deepEqual(caughtUp?.fields, { configurationVersion: 6, behindForMs: 3 * GRACE_MS });
  timers.advance(100 * GRACE_MS);
  assert.equal(state.rereads, 2);
});

test('rereads for a version that the store does not return become less frequent', () => {
  const { timers, state, newest } = daemon();
  newest.record(Number.MAX_SAFE_INTEGER, 'b');
  timers.advance(600_000);
  assert.ok(state.rereads >= 10 && state.rereads <= 20, `${state.rereads} rereads`);
  newest.stop();
  timers.advance(600_000);
  assert.ok(state.rereads <= 20);
});
