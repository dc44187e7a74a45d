/** What a daemon does when others have a newer version of the configuration in force. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { NewestPeerVersion } from '../../src/shell/gateway/newest-peer-version.js';
import { ManualTimers } from './support/manual-timers.js';

const GRACE_MS = 1_000;

function daemon() {
  const timers = new ManualTimers();
  const state = { inForce: 4, looks: 0 };
  const lines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
  const heard = new NewestPeerVersion({
    inForce: () => state.inForce,
    look: () => (state.looks += 1),
    graceMs: GRACE_MS,
    timers,
    log: { write: (event, fields = {}) => lines.push({ event, fields }) },
  });
  const take = (version: number) => {
    state.inForce = version;
    heard.recordInForce(version);
  };
  return { timers, state, lines, heard, take };
}

test('a version that comes into force here soon after it was heard of is no news', () => {
  const { timers, state, lines, heard, take } = daemon();
  heard.note(5, 'b');
  timers.advance(GRACE_MS - 1);
  take(5);
  timers.advance(10 * GRACE_MS);
  assert.equal(state.looks, 0);
  assert.deepEqual(lines, []);
});

test('a daemon that stays behind says so once, looks, and says for how long when it has caught up', () => {
  const { timers, state, lines, heard, take } = daemon();
  heard.note(6, 'b');
  heard.note(5, 'c');
  timers.advance(GRACE_MS);
  assert.equal(state.looks, 1);
  timers.advance(2 * GRACE_MS);
  assert.equal(state.looks, 2);
  take(5);
  assert.equal(lines.length, 1, 'the older of two newer ones is not the one heard of');
  take(6);
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
  assert.equal(state.looks, 2);
});

test('a version that nobody can find is looked for ever more seldom', () => {
  const { timers, state, heard } = daemon();
  heard.note(Number.MAX_SAFE_INTEGER, 'b');
  timers.advance(600_000);
  assert.ok(state.looks >= 10 && state.looks <= 20, `${state.looks} looks`);
  heard.stop();
  timers.advance(600_000);
  assert.ok(state.looks <= 20);
});
