/** Capacity that bears a loss: what is ordered when a zone's spot servers are taken away, when, and by whom. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BOOT_MS, LEASE_MS, play, SpotDaemon, SpotPlatform } from './support/spot-platform.js';

const SETTLED_MS = 20_000;
const GIVEN = 42;
const NEEDED = 28;
const DRY_MS = 11_000;

interface Fleet {
  readonly platform: SpotPlatform;
  readonly daemons: readonly SpotDaemon[];
  readonly holder: SpotDaemon;
  readonly others: readonly SpotDaemon[];
}

/** 42 servers as given, which have become spot servers but for the few that stay. */
function settledFleet(needed = NEEDED): Fleet {
  const platform = new SpotPlatform(GIVEN / 3, needed);
  const daemons = ['x', 'y', 'z'].map((name, index) => new SpotDaemon(platform, name, 70 * index));
  play(platform, daemons, SETTLED_MS);
  const holder = daemons.find(({ isHolder }) => isHolder);
  assert.ok(holder !== undefined);
  return { platform, daemons, holder, others: daemons.filter((daemon) => daemon !== holder) };
}

function assertNoTurns({ platform }: Fleet): void {
  const { given } = platform;
  for (const [index, order] of given.entries()) {
    const earlier = given.slice(0, index);
    for (const other of earlier.filter(({ daemon }) => daemon !== order.daemon)) {
      assert.ok(other.fence < order.fence, 'a lower fence, or one fence from two daemons');
    }
  }
}

/** Orders that ask for what an earlier one, not refused and not older than a boot, asked for already. */
function repeatedOrders({ platform }: Fleet, fromMs: number): number {
  const later = platform.given.filter(({ atMs }) => atMs >= fromMs);
  return later.filter((order, index) =>
    later
      .slice(0, index)
      .some(
        (earlier) =>
          earlier.zone === order.zone &&
          earlier.isSpot === order.isSpot &&
          earlier.servers === order.servers &&
          earlier.outcome === 'accepted' &&
          order.atMs - earlier.atMs < BOOT_MS,
      ),
  ).length;
}

test('as many servers as were given, nearly all of them spot servers, evenly over the zones', () => {
  const { platform, daemons } = settledFleet();
  assert.equal(platform.ready, GIVEN);
  assert.equal(platform.countOf('plain'), 2);
  assert.equal(platform.count('c', 'plain'), 0, 'the dearest zone keeps none');
  const spot = ['a', 'b', 'c'].map((zone) => platform.count(zone, 'spot'));
  assert.ok(Math.max(...spot) - Math.min(...spot) <= 1, spot.join(' '));
  const orders = platform.given.length;
  play(platform, daemons, 60_000);
  assert.equal(platform.given.length, orders, 'and nothing is ordered after that');
});

test('two zones are taken within 6 s: each loss is ordered elsewhere at once, and nothing twice', () => {
  const fleet = settledFleet();
  const { platform, daemons } = fleet;
  const firstMs = platform.nowMs;
  platform.takeAway('c', DRY_MS);
  play(platform, daemons, 3_000);
  const answers = platform.given.filter(({ atMs }) => atMs >= firstMs);
  assert.ok((answers[0]?.atMs ?? Number.POSITIVE_INFINITY) - firstMs <= 400);
  assert.ok(answers.every(({ isSpot, zone }) => isSpot && zone !== 'c'));
  const secondMs = platform.nowMs;
  platform.takeAway('b', DRY_MS);
  play(platform, daemons, BOOT_MS + 500);
  const replies = platform.given.filter(({ atMs }) => atMs >= secondMs);
  assert.ok((replies[0]?.atMs ?? Number.POSITIVE_INFINITY) - secondMs <= 400);
  assert.ok(platform.ready >= GIVEN - 1, `${platform.ready} are there a boot later`);
  assert.equal(repeatedOrders(fleet, firstMs), 0);
  assert.equal(platform.countOf('plain'), 2, 'no plain server was ordered over spot servers');
  assertNoTurns(fleet);
});

test('none to be had in any zone: plain ones come for the work, the cheapest zone first, and go again', () => {
  const fleet = settledFleet();
  const { platform, daemons } = fleet;
  for (const zone of ['a', 'b', 'c']) platform.takeAway(zone, DRY_MS);
  play(platform, daemons, BOOT_MS + 1_000);
  assert.equal(platform.countOf('plain'), NEEDED);
  assert.ok(platform.count('b', 'plain') > NEEDED - 5, 'all but what the limit leaves no room for');
  play(platform, daemons, 40_000);
  assert.equal(platform.countOf('plain'), 2);
  assert.ok(platform.countOf('spot') >= GIVEN - 2);
  assertNoTurns(fleet);
});

test('what was ordered in a zone that is refused goes to the others in the same moment', () => {
  const { platform, daemons } = settledFleet();
  platform.takeAway('c', DRY_MS);
  platform.dryUntilMs.set('b', platform.nowMs + DRY_MS);
  play(platform, daemons, BOOT_MS + 600);
  assert.ok(platform.ready >= GIVEN - 1, `${platform.ready}`);
});

test('zones that had no more to give are asked again for what is lacking elsewhere', () => {
  const { platform, daemons } = settledFleet();
  platform.takeAway('c', 30 * DRY_MS);
  for (const zone of ['a', 'b']) platform.dryUntilMs.set(zone, platform.nowMs + BOOT_MS);
  play(platform, daemons, 6 * BOOT_MS);
  assert.ok(platform.ready >= GIVEN, `${platform.ready}`);
});

test('servers that came in place of lost ones go when the zone has its own again, not at once', () => {
  const { platform, daemons } = settledFleet();
  platform.takeAway('c', DRY_MS);
  play(platform, daemons, DRY_MS + 3 * BOOT_MS);
  assert.ok(platform.count('c', 'spot') >= 13);
  assert.ok(platform.ready > GIVEN);
  play(platform, daemons, 60_000);
  assert.equal(platform.ready, GIVEN);
});

for (const failure of ['the holder dies', 'the store turns the holder away'] as const) {
  test(`${failure}: another daemon answers the loss within 2 s, under a higher fence`, () => {
    const fleet = settledFleet();
    const { platform, daemons, holder, others } = fleet;
    const lossMs = platform.nowMs;
    const fence = platform.given.at(-1)?.fence ?? 0;
    platform.takeAway('a', DRY_MS);
    if (failure === 'the store turns the holder away') platform.turnedAway.add(holder.name);
    play(platform, failure === 'the holder dies' ? others : daemons, 6_500);
    const answers = platform.given.filter(({ atMs }) => atMs >= lossMs);
    assert.ok((answers[0]?.atMs ?? Number.POSITIVE_INFINITY) - lossMs <= 2_000);
    assert.ok(answers.every((order) => order.daemon !== holder.name && order.fence > fence));
    assert.equal(new Set(answers.map(({ daemon }) => daemon)).size, 1);
    assert.ok(platform.ready >= GIVEN - 1);
    platform.turnedAway.clear();
    play(platform, daemons, 40_000);
    assertNoTurns(fleet);
  });
}

test('the holder answers a loss alone: nobody else takes the duty', () => {
  const fleet = settledFleet();
  const { platform, daemons, holder } = fleet;
  for (const zone of ['a', 'b', 'c', 'a']) {
    platform.takeAway(zone, DRY_MS);
    play(platform, daemons, 2 * LEASE_MS);
  }
  play(platform, daemons, 40_000);
  assert.deepEqual([...new Set(platform.given.map(({ daemon }) => daemon))], [holder.name]);
});

test('more work than the loss of a zone would leave room for: more are ordered, and none for a while less', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 36;
  play(platform, daemons, 2 * BOOT_MS);
  const ready = platform.ready;
  assert.ok(ready >= 51, `${ready}`);
  platform.neededWithHeadroom = 20;
  play(platform, daemons, 4 * BOOT_MS);
  assert.equal(platform.ready, ready);
  play(platform, daemons, 12 * BOOT_MS);
  assert.equal(platform.ready, GIVEN);
});

test('before any work was seen, those that were given are taken to be needed; later the work decides', () => {
  const { platform, daemons } = settledFleet(0);
  assert.equal(platform.ready, 1.5 * GIVEN);
  assert.equal(platform.countOf('plain'), 2);
  platform.neededWithHeadroom = 20;
  play(platform, daemons, 20 * BOOT_MS);
  assert.equal(platform.ready, GIVEN);
  platform.neededWithHeadroom = 0;
  play(platform, daemons, 20 * BOOT_MS);
  assert.equal(platform.ready, GIVEN, 'also when there is none for a while');
});

test('demand beyond belief is not followed', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 1_000;
  play(platform, daemons, 4 * BOOT_MS);
  assert.equal(platform.ready, 1.5 * GIVEN);
});

test('one server that fails is asked for again where it was', () => {
  const { platform, daemons } = settledFleet();
  const beforeMs = platform.nowMs;
  platform.order(
    { service: 'reader', zone: 'a', isSpot: true, servers: platform.count('a', 'spot') - 1 },
    'nobody',
    0,
  );
  play(platform, daemons, BOOT_MS + 500);
  const orders = platform.given.filter(
    ({ atMs, daemon }) => atMs >= beforeMs && daemon !== 'nobody',
  );
  assert.deepEqual(new Set(orders.map(({ zone }) => zone)), new Set(['a']));
  assert.equal(platform.ready, GIVEN);
});

test('where spot servers cost no less, nothing is decided differently', () => {
  const platform = new SpotPlatform(GIVEN / 3, 200, 1);
  const daemons = [new SpotDaemon(platform, 'x')];
  play(platform, daemons, 60_000);
  assert.deepEqual(platform.given, []);
  assert.deepEqual(daemons[0]?.duty.summaries, []);
});

test('plain servers that came while no zone had spot servers leave room to ask for some', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 100;
  for (const zone of ['a', 'b', 'c']) platform.takeAway(zone, 10 * DRY_MS);
  play(platform, daemons, 4 * BOOT_MS);
  for (const zone of ['a', 'b', 'c']) assert.ok(platform.count(zone, 'plain') <= 38);
  play(platform, daemons, 10 * DRY_MS + 40 * BOOT_MS);
  assert.equal(platform.countOf('plain'), 2);
});
