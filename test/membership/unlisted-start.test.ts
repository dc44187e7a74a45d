/**
 * Guards against a daemon that reports a change as "applied, in force on one daemon" while others
 * still serve the old configuration. The machine list lags: just after a start it may name neither
 * this daemon nor others that started with it, so their confirmations were not awaited. Until the
 * list has named the daemon itself for `LIST_SETTLE_MS`, the known daemons must not be taken for
 * all.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createMembership,
  type MembershipState,
  mayLackDaemons,
  stepMembership,
} from '../../src/core/membership/index.js';
import type { DaemonMachine } from '../../src/core/registry/backend.js';

const SELF = { name: 'd2', zone: 'z', endpoint: { address: '10.0.0.2', port: 1 } };

function machine(name: string): DaemonMachine {
  return { kind: 'daemon', name, zone: 'z', state: 'live', address: '10.0.0.9', port: 1 };
}

function listed(state: MembershipState, names: readonly string[], now: number): MembershipState {
  const event = { kind: 'daemons-listed', daemons: names.map(machine) } as const;
  return stepMembership(state, event, { now, entropy: 1 }).state;
}

test('a daemon that the machine list does not name yet may lack knowledge of other daemons', () => {
  const started = createMembership({ ...SELF, incarnation: 1 });
  assert.equal(mayLackDaemons(started, 0), true);
  const empty = listed(started, [], 1_000);
  assert.equal(mayLackDaemons(empty, 60_000), true);
});

test('a daemon that was just listed may lack others, as daemons that started with it are listed later', () => {
  const named = listed(createMembership({ ...SELF, incarnation: 1 }), ['d2'], 1_000);
  assert.equal(mayLackDaemons(named, 2_000), true);
  const others = listed(named, ['d1', 'd2', 'd3'], 3_000);
  assert.equal(mayLackDaemons(others, 3_400), true);
  assert.equal(mayLackDaemons(others, 3_500), false);
});

test('a daemon listed for long enough lacks no others, even if a later list omits it', () => {
  const named = listed(createMembership({ ...SELF, incarnation: 1 }), ['d1', 'd2'], 1_000);
  const withoutSelf = listed(named, ['d1'], 5_000);
  assert.equal(mayLackDaemons(withoutSelf, 5_001), false);
});
