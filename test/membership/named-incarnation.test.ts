import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createMembership,
  hasIncarnationEnded,
  type MembershipEvent,
  type MembershipState,
  stepMembership,
} from '../../src/core/membership/index.js';

const TICK_MS = 100;
const LIMIT_MS = 30_000;
const at = (port: number) => ({ address: '127.0.0.1', port });
const LISTED = { kind: 'daemon', name: 'd2', zone: 'a', state: 'live', ...at(2) } as const;
const NAMED = { kind: 'life-named', daemon: 'd2', incarnation: 7 } as const;

function isKnownGoneAfter(events: readonly MembershipEvent[], incarnation: number): boolean {
  const self = { name: 'd1', zone: 'a', incarnation: 1, endpoint: at(1) };
  let state: MembershipState = createMembership(self, []);
  const step = (event: MembershipEvent, now: number): void => {
    state = stepMembership(state, event, { now, entropy: now }).state;
  };
  for (const event of events) step(event, 0);
  for (let now = TICK_MS; now <= LIMIT_MS; now += TICK_MS) {
    step({ kind: 'tick' }, now);
    if (hasIncarnationEnded(state, 'd2', incarnation)) return true;
  }
  return false;
}

test('a life that only a row names is given up when it does not answer', () => {
  const listed: MembershipEvent = { kind: 'daemons-listed', daemons: [LISTED] };
  assert.equal(isKnownGoneAfter([listed, NAMED], 7), true);
  assert.equal(isKnownGoneAfter([listed, NAMED], 8), false);
  assert.equal(isKnownGoneAfter([listed], 7), false);
});
