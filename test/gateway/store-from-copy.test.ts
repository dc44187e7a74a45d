/** After a short outage and a restore of the store from an older copy, changes are in force at all daemons in time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FollowedZone } from './support/followed-zone.js';
import type { LinkState } from './support/store-link.js';

const FLEETS = [
  { fleet: 9, daemons: 3, hasRelay: false, contactMs: 3_000, configApplyMs: 2_000 },
  { fleet: 66, daemons: 22, hasRelay: true, contactMs: 4_000, configApplyMs: 3_000 },
  { fleet: 83, daemons: 28, hasRelay: true, contactMs: 4_000, configApplyMs: 3_000 },
  { fleet: 340, daemons: 68, hasRelay: true, contactMs: 5_000, configApplyMs: 4_000 },
] as const;

const CALM_MS = 8_000;
/** The gap between the starts of daemons, which spreads their calls. */
const START_GAP_MS = 37;
const AWAY_MS = 2_500;
/** When the operator writes the next version, counted from the store's return. */
const CHANGES_MS = [20, 700, 3_000];
/** The state of the links while the store is down; with open links, held calls survive the restore. */
const LINK_STATES: readonly LinkState[] = ['resets', 'silent', 'refuses', 'open'];

/** The store's revision counter after the restore, relative to what daemons have seen. */
interface CounterAfterReturn {
  readonly name: string;
  readonly revisionsLost: number;
  /** How far writes to other tables advance it before the operator's change. */
  readonly moved: number;
}

const COUNTERS: readonly CounterAfterReturn[] = [
  { name: 'one below', revisionsLost: 1, moved: 0 },
  { name: 'far below', revisionsLost: 100_000, moved: 0 },
  { name: 'the same', revisionsLost: 3, moved: 3 },
  { name: 'past it', revisionsLost: 6, moved: 400 },
];

interface RestoreCase {
  readonly way: LinkState;
  readonly counter: CounterAfterReturn;
  readonly changeMs: number;
}

/** The time from the change, which follows the store's return, until the last daemon had it in force. */
async function slowestMsOf(
  fleet: (typeof FLEETS)[number],
  { way, counter, changeMs }: RestoreCase,
): Promise<number> {
  const zone = new FollowedZone({ ...fleet, random: () => 0.5, documentSize: 'small' });
  await zone.start(START_GAP_MS);
  for (let changes = 0; changes < 4; changes += 1) zone.change();
  zone.advanceRevision(200_000);
  zone.change();
  await zone.timers.advanceUntil(CALM_MS);
  zone.setLinks(zone.daemons, way);
  await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
  const returnMs = zone.timers.nowMs();
  zone.restore({ revisionsLost: counter.revisionsLost, versionsLost: 2 });
  zone.advanceRevision(counter.moved);
  zone.setLinks(zone.daemons, 'open');
  await zone.timers.advanceUntil(returnMs + changeMs);
  const version = zone.change();
  const endMs = returnMs + changeMs + 3 * fleet.contactMs;
  await zone.timers.advanceUntil(endMs);
  zone.stop();
  await zone.timers.advanceUntil(endMs + 2 * fleet.contactMs);
  return zone.slowestMs(zone.daemons, version, returnMs + changeMs);
}

// Otherwise a version that is acknowledged after the restore comes into force only once the store's revision counter
// has passed the number that daemons had seen before.
test('a change after the store was restored from a copy is in force in time', async () => {
  const late: string[] = [];
  for (const fleet of FLEETS) {
    for (const way of LINK_STATES) {
      for (const counter of COUNTERS) {
        for (const changeMs of CHANGES_MS) {
          const slowestMs = await slowestMsOf(fleet, { way, counter, changeMs });
          // contactMs counts from the store's return, configApplyMs from the acknowledgement of the change.
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

// When daemons polled again, the counter had passed the revisions that they had seen, so the feed left out the change,
// which had a lower revision.
test('a change that the feed leaves out after a restore from a copy is in force in time', async () => {
  const late: string[] = [];
  for (const fleet of FLEETS) {
    for (const way of LINK_STATES) {
      const zone = new FollowedZone({ ...fleet, random: () => 0.5, documentSize: 'small' });
      await zone.start(START_GAP_MS);
      for (let changes = 0; changes < 4; changes += 1) zone.change();
      await zone.timers.advanceUntil(CALM_MS);
      zone.setLinks(zone.daemons, way);
      await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
      zone.restore({ revisionsLost: 9, versionsLost: 2 });
      const version = zone.changeUnnoticed();
      zone.advanceRevision(200);
      zone.setLinks(zone.daemons, 'open');
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

/** Makes a change 500 ms after the store's return; returns the time from that return until all daemons had it. */
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
  zone.advanceRevision(200_000);
  zone.change();
  await zone.timers.advanceUntil(CALM_MS);
  return zone;
}

// The digests of such a relay stay in the earlier era and never show a change again.
test('followers of a relay without eras poll the store themselves after a restore from a copy', async () => {
  for (const documentSize of ['small', 'large'] as const) {
    const zone = await startChanged(FLEETS[1], { hasRelayWithoutEras: true, documentSize });
    zone.setLinks(zone.daemons, 'silent');
    await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
    zone.restore(FAR_BELOW);
    zone.setLinks(zone.daemons, 'open');
    const slowestMs = await slowestMsAfterReturn(zone, FLEETS[1].contactMs);
    assert.ok(slowestMs <= FLEETS[1].contactMs, `${documentSize}: ${slowestMs} ms`);
  }
});

for (const refused of ['the relay', 'some followers'] as const) {
  test(`while the restored store refuses the calls of ${refused}, the others have a change in force in time`, async () => {
    const zone = await startChanged(FLEETS[1], {});
    const [relay, ...followers] = zone.daemons;
    assert.ok(relay !== undefined);
    const refusedDaemons = refused === 'the relay' ? [relay] : followers.slice(0, 8);
    zone.setLinks(zone.daemons, 'resets');
    await zone.timers.advanceUntil(CALM_MS + AWAY_MS);
    zone.restore(FAR_BELOW);
    zone.setLinks(zone.daemons, 'open');
    zone.setLinks(refusedDaemons, 'refuses');
    const returnMs = zone.timers.nowMs();
    await zone.timers.advanceUntil(returnMs + 500);
    const version = zone.change();
    await zone.timers.advanceUntil(returnMs + 2 * FLEETS[1].contactMs);
    zone.stop();
    await zone.timers.advanceUntil(returnMs + 4 * FLEETS[1].contactMs);
    // The relay forwards a configuration, also to daemons that the store refuses.
    const others = refused === 'the relay' ? followers : zone.daemons;
    const slowestMs = zone.slowestMs(others, version, returnMs);
    assert.ok(slowestMs <= FLEETS[1].contactMs, `${slowestMs} ms`);
  });
}

test('a second restore from a copy right after the first is handled like the first', async () => {
  for (const fleet of FLEETS) {
    const zone = await startChanged(fleet, {});
    for (const gapMs of [AWAY_MS, 400]) {
      zone.setLinks(zone.daemons, 'resets');
      await zone.timers.advanceUntil(zone.timers.nowMs() + gapMs);
      zone.restore(FAR_BELOW);
      zone.setLinks(zone.daemons, 'open');
      await zone.timers.advanceUntil(zone.timers.nowMs() + 150);
    }
    const slowestMs = await slowestMsAfterReturn(zone, fleet.contactMs);
    assert.ok(slowestMs <= fleet.contactMs, `${fleet.fleet}: ${slowestMs} ms`);
  }
});

test('an answer of an earlier era is ignored', async () => {
  const zone = await startChanged(FLEETS[0], {});
  zone.restore({ revisionsLost: 0, versionsLost: 0 });
  zone.advanceRevision(1);
  const version = zone.change();
  await zone.timers.advanceUntil(CALM_MS + 1_000);
  zone.answerFrom({ era: 0, revision: 900_000 });
  await zone.timers.advanceUntil(CALM_MS + 2_000);
  zone.answerFrom({ era: 1, revision: 300_000 });
  const later = zone.change();
  const changedMs = zone.timers.nowMs();
  await zone.timers.advanceUntil(changedMs + FLEETS[0].contactMs);
  zone.stop();
  await zone.timers.advanceUntil(changedMs + 3 * FLEETS[0].contactMs);
  assert.ok(zone.slowestMs(zone.daemons, version, CALM_MS) <= 1_000);
  assert.ok(zone.slowestMs(zone.daemons, later, changedMs) <= FLEETS[0].contactMs);
});
