/** The store is away for a moment and comes back from an older copy: what it has from then on is known in time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type DoorState, FollowedZone } from './support/followed-zone.js';

const FLEETS = [
  { fleet: 9, daemons: 3, hasRelay: false, contactMs: 3_000, configApplyMs: 2_000 },
  { fleet: 66, daemons: 22, hasRelay: true, contactMs: 4_000, configApplyMs: 3_000 },
  { fleet: 83, daemons: 28, hasRelay: true, contactMs: 4_000, configApplyMs: 3_000 },
  { fleet: 340, daemons: 68, hasRelay: true, contactMs: 5_000, configApplyMs: 4_000 },
] as const;

const CALM_MS = 8_000;
/** Between the starts of daemons, so that their calls are spread. */
const START_GAP_MS = 37;
const AWAY_MS = 2_500;
/** When the operator writes the next version, from the store's return. */
const CHANGES_MS = [20, 700, 3_000];
/** Held calls live through the return where the doors stay open. */
const WAYS: readonly DoorState[] = ['resets', 'silent', 'refuses', 'open'];

/** Where the store's counter is against what daemons have seen, as they ask again. */
interface CounterAfterReturn {
  readonly name: string;
  readonly revisionsLost: number;
  /** How far other tables move it before the operator's change. */
  readonly moved: number;
}

const COUNTERS: readonly CounterAfterReturn[] = [
  { name: 'one below', revisionsLost: 1, moved: 0 },
  { name: 'far below', revisionsLost: 100_000, moved: 0 },
  { name: 'the same', revisionsLost: 3, moved: 3 },
  { name: 'past it', revisionsLost: 6, moved: 400 },
];

interface RestoreCase {
  readonly way: DoorState;
  readonly counter: CounterAfterReturn;
  readonly changeMs: number;
}

/** How long after both the return and the change the last daemon had the change in force. */
async function slowestMsOf(
  fleet: (typeof FLEETS)[number],
  { way, counter, changeMs }: RestoreCase,
): Promise<number> {
  const zone = new FollowedZone({ ...fleet, random: () => 0.5, documentSize: 'small' });
  await zone.start(START_GAP_MS);
  for (let changes = 0; changes < 4; changes += 1) zone.change();
  zone.moveCounter(200_000);
  zone.change();
  await zone.timers.advanceUntil(CALM_MS);
  zone.shut(zone.daemons, way);
  await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
  const returnMs = zone.timers.nowMs();
  zone.restore({ revisionsLost: counter.revisionsLost, versionsLost: 2 });
  zone.moveCounter(counter.moved);
  zone.shut(zone.daemons, 'open');
  await zone.timers.advanceUntil(returnMs + changeMs);
  const version = zone.change();
  const endMs = returnMs + changeMs + 3 * fleet.contactMs;
  await zone.timers.advanceUntil(endMs);
  zone.stop();
  await zone.timers.advanceUntil(endMs + 2 * fleet.contactMs);
  return zone.slowestMs(zone.daemons, version, returnMs + changeMs);
}

// A version that was acknowledged after the store's return was in force only once its counter had passed the number that
// daemons had seen before.
test('a change after the store came back from a copy is in force in time', async () => {
  const late: string[] = [];
  for (const fleet of FLEETS) {
    for (const way of WAYS) {
      for (const counter of COUNTERS) {
        for (const changeMs of CHANGES_MS) {
          const slowestMs = await slowestMsOf(fleet, { way, counter, changeMs });
          // The time to be back in touch counts from the return, that of the change from its acknowledgement.
          const dueMs = Math.max(fleet.contactMs - changeMs, fleet.configApplyMs);
          if (slowestMs > dueMs) {
            late.push(`${fleet.fleet}, ${way}, ${counter.name}, ${changeMs}: ${slowestMs} ms`);
          }
        }
      }
    }
  }
  assert.deepEqual(late, []);
});

// The counter had passed what daemons had seen when they asked again: the feed answered, without what was written below.
test('a change that other writes hide from the feed after the store came back from a copy is in force in time', async () => {
  const late: string[] = [];
  for (const fleet of FLEETS) {
    for (const way of WAYS) {
      const zone = new FollowedZone({ ...fleet, random: () => 0.5, documentSize: 'small' });
      await zone.start(START_GAP_MS);
      for (let changes = 0; changes < 4; changes += 1) zone.change();
      await zone.timers.advanceUntil(CALM_MS);
      zone.shut(zone.daemons, way);
      await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
      zone.restore({ revisionsLost: 9, versionsLost: 2 });
      const version = zone.changeUnheard();
      zone.moveCounter(200);
      zone.shut(zone.daemons, 'open');
      const returnMs = zone.timers.nowMs();
      await zone.timers.advanceUntil(returnMs + 3 * fleet.contactMs);
      zone.stop();
      await zone.timers.advanceUntil(returnMs + 5 * fleet.contactMs);
      const slowestMs = zone.slowestMs(zone.daemons, version, returnMs);
      if (slowestMs > fleet.contactMs) late.push(`${fleet.fleet}, ${way}: ${slowestMs} ms`);
    }
  }
  assert.deepEqual(late, []);
});

/** The last daemons of a zone have a change in force so long after the store's return and the change. */
async function slowestMsAfterReturn(zone: FollowedZone, contactMs: number): Promise<number> {
  const returnMs = zone.timers.nowMs();
  await zone.timers.advanceUntil(returnMs + 500);
  const version = zone.change();
  await zone.timers.advanceUntil(returnMs + 3 * contactMs);
  zone.stop();
  await zone.timers.advanceUntil(returnMs + 5 * contactMs);
  return zone.slowestMs(zone.daemons, version, returnMs);
}

const FAR_BELOW = { revisionsLost: 100_000, versionsLost: 2 };

async function startChanged(
  fleet: (typeof FLEETS)[number],
  options: object,
): Promise<FollowedZone> {
  const zone = new FollowedZone({ ...fleet, random: () => 0.5, documentSize: 'small', ...options });
  await zone.start(START_GAP_MS);
  zone.moveCounter(200_000);
  zone.change();
  await zone.timers.advanceUntil(CALM_MS);
  return zone;
}

// A digest of the era before says that nothing has changed, for good.
test('followers of a relay of the release before eras look for themselves after the store came back from a copy', async () => {
  for (const documentSize of ['small', 'large'] as const) {
    const zone = await startChanged(FLEETS[1], { hasRelayWithoutEras: true, documentSize });
    zone.shut(zone.daemons, 'silent');
    await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
    zone.restore(FAR_BELOW);
    zone.shut(zone.daemons, 'open');
    const slowestMs = await slowestMsAfterReturn(zone, FLEETS[1].contactMs);
    assert.ok(slowestMs <= FLEETS[1].contactMs, `${documentSize}: ${slowestMs} ms`);
  }
});

for (const refused of ['the relay', 'some followers'] as const) {
  test(`while the store that came back from a copy refuses ${refused}, the others have a change in time`, async () => {
    const zone = await startChanged(FLEETS[1], {});
    const [relay, ...followers] = zone.daemons;
    assert.ok(relay !== undefined);
    const shut = refused === 'the relay' ? [relay] : followers.slice(0, 8);
    zone.shut(zone.daemons, 'resets');
    await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
    zone.restore(FAR_BELOW);
    zone.shut(zone.daemons, 'open');
    zone.shut(shut, 'refuses');
    const returnMs = zone.timers.nowMs();
    await zone.timers.advanceUntil(returnMs + 500);
    const version = zone.change();
    await zone.timers.advanceUntil(returnMs + 2 * FLEETS[1].contactMs);
    zone.stop();
    await zone.timers.advanceUntil(returnMs + 4 * FLEETS[1].contactMs);
    // A configuration is passed on by the relay, also to those that the store refuses.
    const others = refused === 'the relay' ? followers : zone.daemons;
    const slowestMs = zone.slowestMs(others, version, returnMs);
    assert.ok(slowestMs <= FLEETS[1].contactMs, `${slowestMs} ms`);
  });
}

test('a second return from a copy right after the first is met as the first', async () => {
  for (const fleet of FLEETS) {
    const zone = await startChanged(fleet, {});
    for (const gapMs of [AWAY_MS, 400]) {
      zone.shut(zone.daemons, 'resets');
      await zone.timers.advanceUntil(zone.timers.nowMs() + gapMs);
      zone.restore(FAR_BELOW);
      zone.shut(zone.daemons, 'open');
      await zone.timers.advanceUntil(zone.timers.nowMs() + 150);
    }
    const slowestMs = await slowestMsAfterReturn(zone, fleet.contactMs);
    assert.ok(slowestMs <= fleet.contactMs, `${fleet.fleet}: ${slowestMs} ms`);
  }
});

test('an answer of an era before sets nothing back', async () => {
  const zone = await startChanged(FLEETS[0], {});
  zone.restore({ revisionsLost: 0, versionsLost: 0 });
  zone.moveCounter(1);
  const version = zone.change();
  await zone.timers.advanceUntil(CALM_MS + 1_000);
  zone.goBackTo({ era: 0, revision: 900_000 });
  await zone.timers.advanceUntil(CALM_MS + 2_000);
  zone.goBackTo({ era: 1, revision: 300_000 });
  const later = zone.change();
  const changedMs = zone.timers.nowMs();
  await zone.timers.advanceUntil(changedMs + FLEETS[0].contactMs);
  zone.stop();
  await zone.timers.advanceUntil(changedMs + 3 * FLEETS[0].contactMs);
  assert.ok(zone.slowestMs(zone.daemons, version, CALM_MS) <= 1_000);
  assert.ok(zone.slowestMs(zone.daemons, later, changedMs) <= FLEETS[0].contactMs);
});
