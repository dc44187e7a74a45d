/**
 * After any disturbance a version that the store has acknowledged is in force at all daemons within the time in which
 * they count as in touch again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { longestBlindMs, watchTiming } from '../../src/shell/gateway/watch-timing.js';
import { type DoorState, FollowedZone, type FollowedZoneOptions } from './support/followed-zone.js';
import { seededRandom } from './support/seeded-random.js';

/** As operators set them: how soon a change is to be in force, and how long after a disturbance a daemon is in touch. */
interface Bounds {
  readonly contactMs: number;
  readonly configApplyMs: number;
}

/** Fleets by their size: of the daemons of one zone, the first is the relay where the fleet is large. */
const SMALL = { contactMs: 3_000, configApplyMs: 2_000 };
const MEDIUM = { contactMs: 4_000, configApplyMs: 3_000 };
const LARGE = { contactMs: 5_000, configApplyMs: 4_000 };
const FLEETS = [
  { fleet: 9, daemons: 3, hasRelay: false, ...SMALL },
  { fleet: 66, daemons: 22, hasRelay: true, ...MEDIUM },
  { fleet: 83, daemons: 28, hasRelay: true, ...MEDIUM },
  { fleet: 340, daemons: 68, hasRelay: true, ...LARGE },
] as const;

const CALM_MS = 8_000;
const PHASES = 4;
const PHASE_MS = 1_073;

/** Who is struck: everyone, all but the relay, or the relay alone. */
type Struck = 'all' | 'followers' | 'relay';

interface Disturbance {
  readonly state: DoorState;
  readonly lengthMs: number;
  readonly struck: Struck;
  /** When the operator changes the configuration, from the end of the disturbance. */
  readonly changeMs: number;
  readonly phase: number;
}

/** What came of a change around a disturbance. */
interface Played {
  /** The last daemon had it in force so long after both the end of the disturbance and the acknowledgement. */
  readonly slowestMs: number;
  /** In which time it has to have it. */
  readonly dueMs: number;
  /** Calls to the store during the disturbance, by all daemons. */
  readonly calls: number;
}

type Fleet = Omit<FollowedZoneOptions, 'random'> & Bounds;

async function play(
  fleet: Fleet,
  { state, lengthMs, struck, changeMs, phase }: Disturbance,
): Promise<Played> {
  const zone = new FollowedZone({ ...fleet, random: seededRandom(phase) });
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS + phase * PHASE_MS);
  const parts = {
    all: zone.daemons,
    followers: zone.daemons.slice(1),
    relay: zone.daemons.slice(0, 1),
  };
  const endMs = zone.timers.nowMs() + lengthMs;
  const ackMs = endMs + changeMs;
  const callsBefore = zone.callsTotal;
  zone.shut(parts[struck], state);
  await zone.timers.advanceUntil(Math.min(ackMs, endMs));
  if (ackMs >= endMs) zone.shut(parts[struck], 'open');
  await zone.timers.advanceUntil(ackMs);
  const version = zone.change();
  await zone.timers.advanceUntil(endMs);
  const calls = zone.callsTotal - callsBefore;
  if (ackMs < endMs) zone.shut(parts[struck], 'open');
  const dueMs = Math.max(endMs + fleet.contactMs, ackMs + fleet.configApplyMs);
  await zone.timers.advanceUntil(dueMs + fleet.contactMs);
  zone.stop();
  await zone.timers.advanceUntil(dueMs + 2 * fleet.contactMs);
  const sinceMs = Math.max(endMs, ackMs);
  return {
    slowestMs: zone.slowestMs(zone.daemons, version, sinceMs),
    dueMs: dueMs - sinceMs,
    calls,
  };
}

const SILENCES_MS = [300, 1_500, 4_000, 9_000, 18_000, 24_600, 40_000];
const CHANGES_MS = [-1_000, 0, 700];

// Operators saw 55 requests refused as only an older version of the configuration allows, at many daemons of a fleet of
// 66 that had been undisturbed for 4 s. A call that a silence has swallowed was given up after 3,000 ms, and after the
// fourth failure in a row up to 2,000 ms were waited until the next: more than 4,000 ms from the end of a silence of 18 s
// or longer. Daemons whose zone's relay had found the store again and said so meanwhile did not hear it: only a digest
// that became fresh during the wait ended that, and theirs had become fresh during the call. The slowest took up to 1.27
// times the time in which it counts as in touch again.
test('a change as all daemons find the store again after a silence is in force in time', async () => {
  const late: string[] = [];
  for (const { fleet, ...options } of FLEETS) {
    for (const lengthMs of SILENCES_MS) {
      for (const changeMs of CHANGES_MS) {
        for (let phase = 0; phase < PHASES; phase += 1) {
          const disturbance = {
            state: 'silent',
            lengthMs,
            struck: 'all',
            changeMs,
            phase,
          } as const;
          const { slowestMs, dueMs } = await play(
            { ...options, documentSize: 'small' },
            disturbance,
          );
          const share = slowestMs / dueMs;
          if (share > 1) late.push(`${fleet}: ${share.toFixed(2)} of the time, ${lengthMs} ms`);
        }
      }
    }
  }
  assert.deepEqual(late, []);
});

/** After the store answers again: two calls, a relay's next digest, and what a change that follows another is gathered for. */
const ANSWERS_MS = 700;

test('the longest time without sight of the store is half of that to be back in touch, but for small fleets', () => {
  for (const { contactMs } of [SMALL, MEDIUM, LARGE]) {
    const blindMs = (role: 'alone' | 'relay' | 'follower') =>
      longestBlindMs(watchTiming(role, contactMs));
    assert.ok(blindMs('follower') <= contactMs / 2);
    assert.ok(blindMs('relay') <= contactMs / 2);
    // Each of its daemons holds a call all the time; shorter holds would be dearer for the store.
    assert.ok(blindMs('alone') < contactMs * 0.95);
  }
});

const DISTURBANCES_MS = [300, 4_000, 15_000, 60_000];

for (const state of ['silent', 'refuses', 'resets'] as const) {
  test(`when the store ${state === 'silent' ? 'is silent' : state} for a while, a change is in force within the sum of a call and a wait`, async () => {
    const late: string[] = [];
    for (const { fleet, ...options } of FLEETS) {
      const role = options.hasRelay ? 'follower' : 'alone';
      const mostMs = longestBlindMs(watchTiming(role, options.contactMs)) + ANSWERS_MS;
      for (const struck of ['all', 'followers'] as const) {
        for (const [phase, lengthMs] of DISTURBANCES_MS.entries()) {
          // A change that is too large for a datagram has to be had from the store by each.
          const document = { documentSize: phase === 1 ? 'large' : 'small' } as const;
          const disturbance = { state, lengthMs, struck, changeMs: 0, phase };
          const { slowestMs } = await play({ ...options, ...document }, disturbance);
          if (slowestMs > mostMs) late.push(`${fleet} ${struck} ${lengthMs}: ${slowestMs} ms`);
        }
      }
    }
    assert.deepEqual(late, []);
  });
}

test('a change while only the relay is cut off from the store is in force in time at all others', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  for (const state of ['silent', 'refuses', 'resets'] as const) {
    for (let phase = 0; phase < PHASES; phase += 1) {
      const zone = new FollowedZone({
        ...options,
        random: seededRandom(phase),
        documentSize: 'small',
      });
      await zone.start(37);
      await zone.timers.advanceUntil(CALM_MS + phase * PHASE_MS);
      zone.shut(zone.daemons.slice(0, 1), state);
      const ackMs = zone.timers.nowMs() + 150;
      await zone.timers.advanceUntil(ackMs);
      const version = zone.change();
      await zone.timers.advanceUntil(ackMs + 2 * options.configApplyMs);
      zone.stop();
      await zone.timers.advanceUntil(ackMs + 4 * options.configApplyMs);
      const slowestMs = zone.slowestMs(zone.daemons.slice(1), version, ackMs);
      assert.ok(slowestMs <= options.configApplyMs, `${state}, phase ${phase}: ${slowestMs} ms`);
    }
  }
});

// A change was made while the store told no held call of it, then the history was lost, and whole reads answered as of
// before the change for longer than a table was read again: all believed to be current, and kept the older version until
// the next change. A table was read again for 1.5 times the time to be in touch; stale reads of 9 s outlast that.
test('a change that falls into a lost history is in force in time after reads are stale no more', async () => {
  const late: string[] = [];
  for (const { fleet, ...options } of FLEETS.slice(0, 2)) {
    for (const staleMs of [1_000, 3_000, 6_000, 9_000, 12_000]) {
      const zone = new FollowedZone({ ...options, random: seededRandom(4), documentSize: 'small' });
      await zone.start(37);
      await zone.timers.advanceUntil(CALM_MS);
      for (const { table } of zone.daemons) table.staleVersion = zone.newestVersion;
      const version = zone.changeInGap();
      const endMs = CALM_MS + staleMs;
      await zone.timers.advanceUntil(endMs);
      for (const { table } of zone.daemons) table.staleVersion = undefined;
      await zone.timers.advanceUntil(endMs + 2 * options.contactMs);
      zone.stop();
      await zone.timers.advanceUntil(endMs + 4 * options.contactMs);
      const slowestMs = zone.slowestMs(zone.daemons, version, endMs);
      if (slowestMs > options.contactMs)
        late.push(`${fleet}, stale for ${staleMs}: ${slowestMs} ms`);
    }
  }
  assert.deepEqual(late, []);
});

test('reads that are stale under their own revision are no failure of the store: it is not asked for more', async () => {
  const { fleet: _, ...options } = FLEETS[0];
  const zone = new FollowedZone({ ...options, random: seededRandom(5), documentSize: 'small' });
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS);
  const staleVersion = zone.newestVersion;
  const staleRevision = zone.newestRevision;
  zone.change();
  await zone.timers.advanceUntil(CALM_MS + 1_000);
  const version = zone.changeInGap();
  for (const { table } of zone.daemons) {
    table.staleVersion = staleVersion;
    table.staleRevision = staleRevision;
  }
  const callsBefore = zone.callsTotal;
  const endMs = zone.timers.nowMs() + 9_000;
  await zone.timers.advanceUntil(endMs);
  const callsOfDaemon = (zone.callsTotal - callsBefore) / zone.daemons.length;
  for (const { table } of zone.daemons) table.staleVersion = undefined;
  await zone.timers.advanceUntil(endMs + options.contactMs);
  zone.stop();
  await zone.timers.advanceUntil(endMs + 3 * options.contactMs);
  assert.ok(zone.slowestMs(zone.daemons, version, endMs) <= options.contactMs);
  // Retries as while the store is away, two a second, and the held calls of the other table.
  assert.ok(callsOfDaemon <= 9 * 3 + 6, `${callsOfDaemon} calls of a daemon`);
});

test('a follower of a relay that tells no version follows the table as its revisions say', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  const fleet = { ...options, documentSize: 'large', tellsVersion: false } as const;
  const zone = new FollowedZone({ ...fleet, random: seededRandom(6) });
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS);
  const version = zone.change();
  await zone.timers.advanceUntil(CALM_MS + 1_000);
  zone.stop();
  await zone.timers.advanceUntil(CALM_MS + 3 * options.contactMs);
  assert.ok(zone.slowestMs(zone.daemons, version, CALM_MS) <= 1_000);
});

test('a change that the relay passes on is in force at once, also where the own call hangs', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  const disturbance = { state: 'silent', lengthMs: 9_000, struck: 'followers' } as const;
  for (let phase = 0; phase < PHASES; phase += 1) {
    const fleet = { ...options, documentSize: 'small' } as const;
    const { slowestMs } = await play(fleet, { ...disturbance, changeMs: -4_000, phase });
    assert.ok(slowestMs < -3_000, `${slowestMs} ms after the end of the silence`);
  }
});

test('a late configuration that another daemon passes on sets nothing back', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  const zone = new FollowedZone({ ...options, random: seededRandom(2), documentSize: 'small' });
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS);
  const late = { key: 'config', encoded: Buffer.from(String(zone.newestVersion)) };
  const version = zone.change();
  await zone.timers.advanceUntil(CALM_MS + 500);
  const [, follower] = zone.daemons;
  assert.equal(follower?.follower.inForceVersion, version);
  const isNewer = follower?.follower.applyForwardedConfiguration({
    ...late,
    era: 0,
    after: 1,
    revision: 9_999,
  });
  assert.equal(isNewer, false);
  assert.equal(follower?.follower.inForceVersion, version);
  zone.stop();
  await zone.timers.advanceUntil(CALM_MS + 3 * options.contactMs);
});

test('a relay that believes a stale read learns the version from the relay of another zone', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  const zone = new FollowedZone({ ...options, random: seededRandom(3), documentSize: 'small' });
  const [relay] = zone.daemons;
  assert.ok(relay !== undefined);
  const version = zone.change();
  relay.table.staleVersion = version - 1;
  for (const { table } of zone.daemons) table.staleVersion = version - 1;
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS);
  for (const { table } of zone.daemons) table.staleVersion = undefined;
  assert.equal(relay.follower.inForceVersion, version - 1);
  relay.follower.recordPeerVersion(version, 'relay of another zone');
  await zone.timers.advanceUntil(CALM_MS + options.contactMs);
  zone.stop();
  await zone.timers.advanceUntil(CALM_MS + 3 * options.contactMs);
  assert.ok(zone.slowestMs(zone.daemons, version, CALM_MS) <= options.contactMs / 2);
});

// A daemon that starts while the store answers stale reads under the newest revision believed that it was current, and
// kept the older version until the next change, though its relay had the newer one: digests said how far the table had
// moved, and no message said which version is in force. Its log had no line at all between 6010 of the older version and
// 6010 of the next; it has 6019 and 6029 now.
test('a daemon whose first read of the table was stale has the version that its relay has', async () => {
  const { fleet: _, ...options } = FLEETS[1];
  const zone = new FollowedZone({ ...options, random: seededRandom(1), documentSize: 'small' });
  const late = zone.daemons.slice(-1);
  await zone.start(37, late.length);
  await zone.timers.advanceUntil(CALM_MS);
  const version = zone.change();
  await zone.timers.advanceUntil(CALM_MS + 1_000);
  for (const { table, follower } of late) {
    table.staleVersion = version - 1;
    follower.start();
  }
  await zone.timers.advanceUntil(CALM_MS + 2_000);
  for (const { table } of late) table.staleVersion = undefined;
  await zone.timers.advanceUntil(CALM_MS + 2_000 + options.contactMs);
  zone.stop();
  await zone.timers.advanceUntil(CALM_MS + 2_000 + 3 * options.contactMs);
  assert.ok(zone.slowestMs(late, version, CALM_MS + 2_000) <= options.contactMs);
});
