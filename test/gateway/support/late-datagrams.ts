/** Departures of servers as what daemons tell one another arrives ever later, in order and without a gap. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CONNECT_TIMEOUT_MS } from '../../../src/core/gateway/index.js';
import { type DepartingDaemon, DepartingFleet } from './departing-fleet.js';
import { RESTLESS_MS, SERVERS, type Size } from './departing-sizes.js';
import { seededRandom } from './seeded-random.js';

const GROWING_MS = 6_000;

interface Lateness {
  readonly name: string;
  readonly isLate: (from: DepartingDaemon, to: DepartingDaemon) => boolean;
}

const LATENESSES: readonly Lateness[] = [
  { name: 'all that relays send', isLate: ({ role }) => role === 'relay' },
  { name: 'all that arrives in a zone', isLate: (_from, { zone }) => zone === 0 },
  { name: 'all', isLate: () => true },
];

/** Tests a fleet with relays. */
export function testLateDatagrams(size: Size): void {
  const daemons = size.zones * size.daemonsPerZone;
  for (const { name, isLate } of LATENESSES) {
    test(`a server that departs is not used longer than half of its drain time as datagrams come ever later, in order and without a gap (${daemons} daemons, ${name})`, async () => {
      for (const way of ['draining', 'gone'] as const) {
        for (const lateMs of [400, 1_000, 3_000, 6_000]) {
          const fleet = new DepartingFleet({ ...size, random: seededRandom(1) });
          await fleet.start(SERVERS);
          fleet.keepChanging(RESTLESS_MS);
          await fleet.pass(2_000);
          const sinceMs = fleet.timers.nowMs();
          fleet.delayMs = (from, to) => {
            const grown = Math.min(1, (fleet.timers.nowMs() - sinceMs) / GROWING_MS);
            return isLate(from, to) ? lateMs * grown : 0;
          };
          await fleet.pass(GROWING_MS + lateMs);
          const knownMs = await fleet.depart('leaves', way);
          fleet.stop();
          const limitMs = size.drainMs / 2 - CONNECT_TIMEOUT_MS;
          assert.ok(knownMs <= limitMs, `${way}, ${lateMs} ms late: ${knownMs} of ${limitMs} ms`);
        }
      }
    });
  }
}
