/**
 * Guards against requests that reach a server later than its drain time after the store acknowledged that it drains or is
 * gone, because daemons learn of it late. The sum of all waits is half of the drain time at most, as real daemons wait for a
 * processor, and whole fleets in virtual time stay within the sum.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CONNECT_TIMEOUT_MS,
  type DepartureWay as KnownBy,
  lastSendMs,
  longestUnawareMs,
} from '../../src/core/gateway/index.js';
import {
  type DepartingDaemon,
  DepartingFleet,
  type DepartureWay,
} from './support/departing-fleet.js';
import { RESTLESS_MS, SERVERS, SIZES, type Size, SMALL } from './support/departing-sizes.js';
import { seededRandom } from './support/seeded-random.js';

const RESTING = Number.POSITIVE_INFINITY;
/** Departures begin at different phases of batches and digests. */
const PHASES_MS = [0, 190, 430, 770, 1_130];
/** Large fleets are played at fewer phases. */
const MAX_PLAYED_DAEMONS = 130;

const WAYS: readonly KnownBy[] = ['own read', 'notice', 'digest', 'silent relays'];

interface Trouble {
  readonly name: string;
  readonly needsRelays: boolean;
  /** How the last daemon learns of a departure. */
  readonly knownBy: (size: Size) => KnownBy;
  readonly begin: (fleet: DepartingFleet) => void | Promise<void>;
}

const AWAY_MS = 2_800;
const SINCE_RETURN_MS = 700;
const SAMPLE_MS = 50;

/** The calls of the last daemon fail for a while, and are answered again. */
async function cutLastDaemon(fleet: DepartingFleet): Promise<DepartingDaemon | undefined> {
  const daemon = fleet.daemons.at(-1);
  daemon?.link.set('resets');
  await fleet.pass(AWAY_MS);
  daemon?.link.set('open');
  await fleet.pass(SINCE_RETURN_MS);
  return daemon;
}

const byNotice = ({ hasRelays }: Size) => (hasRelays ? 'notice' : 'own read');

const TROUBLES: readonly Trouble[] = [
  {
    name: 'without a disturbance',
    needsRelays: false,
    knownBy: byNotice,
    begin: () => undefined,
  },
  {
    name: 'shortly after calls of a daemon failed',
    needsRelays: false,
    knownBy: byNotice,
    begin: async (fleet) => void (await cutLastDaemon(fleet)),
  },
  {
    name: 'as calls of a daemon fail again',
    needsRelays: false,
    knownBy: () => 'notice',
    begin: async (fleet) => (await cutLastDaemon(fleet))?.link.set('resets'),
  },
  {
    name: 'as a relay stops',
    needsRelays: true,
    knownBy: () => 'notice',
    begin: (fleet) => fleet.halt(fleet.relays.slice(0, 1)),
  },
  {
    name: 'as all relays stop',
    needsRelays: true,
    knownBy: () => 'silent relays',
    begin: (fleet) => fleet.halt(fleet.relays),
  },
  {
    name: 'where the forwarded changes are lost',
    needsRelays: true,
    knownBy: () => 'digest',
    begin: (fleet) => {
      fleet.isLost = (kind) => kind !== 'digest';
    },
  },
  {
    name: 'where the changes are too large to be forwarded',
    needsRelays: true,
    knownBy: () => 'notice',
    begin: (fleet) => {
      fleet.isTooLarge = true;
    },
  },
];

/** The longest time after a departure until no daemon sends new work to the server. */
async function slowestMs(size: Size, trouble: Trouble, way: DepartureWay, everyMs: number) {
  let slowest = 0;
  const phases = Math.ceil(MAX_PLAYED_DAEMONS / (size.zones * size.daemonsPerZone));
  for (const phaseMs of PHASES_MS.slice(0, phases)) {
    const fleet = new DepartingFleet({ ...size, random: seededRandom(1 + phaseMs) });
    await fleet.start(SERVERS);
    if (everyMs !== RESTING) fleet.keepChanging(everyMs);
    await fleet.pass(2_000 + phaseMs);
    await trouble.begin(fleet);
    slowest = Math.max(slowest, await fleet.depart('leaves', way));
    fleet.stop();
  }
  return slowest;
}

for (const way of WAYS) {
  test(`the last request to a server that departs is sent within half of its drain time (known by ${way})`, () => {
    for (let drainMs = 2_000; drainMs <= 4_000; drainMs += 250) {
      const lastMs = lastSendMs(way, drainMs);
      assert.ok(lastMs <= drainMs / 2, `${lastMs} of ${drainMs / 2} ms`);
    }
  });
}

for (const size of SIZES) {
  for (const trouble of TROUBLES) {
    if (trouble.needsRelays && !size.hasRelays) continue;
    const daemons = size.zones * size.daemonsPerZone;
    test(`no request is chosen for a server that departs later than the sum of all waits (${daemons} daemons, ${trouble.name})`, async () => {
      for (const way of ['draining', 'gone'] as const) {
        for (const everyMs of [RESTING, RESTLESS_MS]) {
          const knownMs = await slowestMs(size, trouble, way, everyMs);
          const limitMs = longestUnawareMs(trouble.knownBy(size), size.drainMs);
          assert.ok(
            knownMs <= limitMs,
            `${way}, a row every ${everyMs} ms: ${knownMs} of ${limitMs} ms`,
          );
        }
      }
    });
  }
}

test('a daemon that comes back to the store does not use a server again of which others told that its row is gone', async () => {
  const fleet = new DepartingFleet({ ...SMALL, random: seededRandom(1) });
  await fleet.start(SERVERS);
  const away = fleet.daemons.at(-1);
  assert.ok(away);
  away.link.set('resets');
  await fleet.pass(AWAY_MS);
  await fleet.depart('leaves', 'gone');
  await fleet.pass(SINCE_RETURN_MS);
  away.link.set('open');
  for (let passedMs = 0; passedMs < AWAY_MS; passedMs += SAMPLE_MS) {
    await fleet.pass(SAMPLE_MS);
    assert.equal(away.uses('leaves', fleet.timers.nowMs()), false, `${passedMs} ms later`);
  }
  fleet.stop();
});

/** The open calls of daemons to the store go silent without a reset, while new ones are answered. */
function silenceOpenCalls(daemons: readonly DepartingDaemon[]): void {
  for (const { link } of daemons) {
    link.set('silent');
    link.set('open');
  }
}

for (const size of SIZES.filter(({ hasRelays }) => hasRelays)) {
  const daemons = size.zones * size.daemonsPerZone;
  test(`a server whose row goes as the relays' open calls to the store go silent is not used longer than its drain time (${daemons} daemons)`, async () => {
    const fleet = new DepartingFleet({ ...size, random: seededRandom(1) });
    await fleet.start(SERVERS);
    await fleet.pass(2_000);
    silenceOpenCalls(fleet.relays);
    const knownMs = await fleet.depart('leaves', 'gone');
    fleet.stop();
    assert.ok(knownMs <= size.drainMs - CONNECT_TIMEOUT_MS, `${knownMs} of ${size.drainMs} ms`);
  });
}

const WITHOUT_PATH_MS = 6_000;
/** A follower may be about to time out a call of its own as the row changes. */
const MAX_TOLD_SHARE_OF_DRAIN = 1 / 2;

for (const size of SIZES.filter(({ hasRelays }) => hasRelays)) {
  const daemons = size.zones * size.daemonsPerZone;
  test(`a daemon without a path to the store learns of a departure from others of its zone while no relay has one (${daemons} daemons)`, async () => {
    for (const way of ['draining', 'gone'] as const) {
      const fleet = new DepartingFleet({ ...size, random: seededRandom(1) });
      await fleet.start(SERVERS);
      for (const { link } of [...fleet.relays, ...fleet.daemons.slice(-1)]) link.set('resets');
      await fleet.pass(WITHOUT_PATH_MS);
      const knownMs = await fleet.depart('leaves', way);
      fleet.stop();
      const limitMs = size.drainMs * MAX_TOLD_SHARE_OF_DRAIN;
      assert.ok(knownMs <= limitMs, `${way}: ${knownMs} of ${limitMs} ms`);
    }
  });
}

for (const isDeclining of [true, false]) {
  test(`a server that a notice says departs, and a newer list shows as ready, is ${isDeclining ? 'not used if it declines work' : 'used on if it accepts work'}`, async () => {
    const fleet = new DepartingFleet({ ...SMALL, random: seededRandom(1) });
    await fleet.start(SERVERS);
    const [daemon] = fleet.daemons;
    const server = daemon?.fleet.directory.get('leaves');
    assert.ok(daemon && server);
    if (isDeclining) fleet.decliningIds.add(server.id);
    const departures = [{ server, state: 'draining', changedWithinMs: 0 }] as const;
    daemon.receiveNotice({ kind: 'departures', era: 0, revision: 1, departures });
    await fleet.pass(SAMPLE_MS);
    assert.equal(daemon.uses(server.id, fleet.timers.nowMs()), !isDeclining);
    fleet.stop();
  });
}
