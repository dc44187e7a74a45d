/** Capacity that survives the loss of a zone: which orders follow when spot servers are reclaimed, and from whom. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BOOT_MS, LEASE_MS, runFor, SpotDaemon, SpotPlatform } from './support/spot-platform.js';

const SETTLED_MS = 20_000;
const INITIAL_SERVERS = 42;
const NEEDED = 28;
const UNAVAILABLE_MS = 11_000;

interface Fleet {
  readonly platform: SpotPlatform;
  readonly daemons: readonly SpotDaemon[];
  readonly holder: SpotDaemon;
  readonly others: readonly SpotDaemon[];
}

/** A fleet of 42 initial plain servers, after all but the few that stay were replaced by spot servers. */
function settledFleet(needed = NEEDED): Fleet {
  const platform = new SpotPlatform(INITIAL_SERVERS / 3, needed);
  const daemons = ['x', 'y', 'z'].map((name, index) => new SpotDaemon(platform, name, 70 * index));
  runFor(platform, daemons, SETTLED_MS);
  const holder = daemons.find(({ isHolder }) => isHolder);
  assert.ok(holder !== undefined);
  return { platform, daemons, holder, others: daemons.filter((daemon) => daemon !== holder) };
}

function assertNoAlternation({ platform }: Fleet): void {
  const { receivedOrders } = platform;
  for (const [index, order] of receivedOrders.entries()) {
    const earlier = receivedOrders.slice(0, index);
    for (const other of earlier.filter(({ daemon }) => daemon !== order.daemon)) {
      assert.ok(
        other.fence < order.fence,
        'a daemon used a fence that is not above the fences of another daemon before it',
      );
    }
  }
}

/** The number of orders that repeat an accepted order sent less than a boot time before. */
function repeatedOrders({ platform }: Fleet, fromMs: number): number {
  const later = platform.receivedOrders.filter(({ atMs }) => atMs >= fromMs);
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

test('a settled fleet has its initial number of servers, nearly all spot, distributed evenly over the zones', () => {
  const { platform, daemons } = settledFleet();
  assert.equal(platform.ready, INITIAL_SERVERS);
  assert.equal(platform.countOf('plain'), 2);
  assert.equal(platform.count('c', 'plain'), 0, 'the most expensive zone keeps no plain server');
  const spot = ['a', 'b', 'c'].map((zone) => platform.count(zone, 'spot'));
  assert.ok(Math.max(...spot) - Math.min(...spot) <= 1, spot.join(' '));
  const orders = platform.receivedOrders.length;
  runFor(platform, daemons, 60_000);
  assert.equal(
    platform.receivedOrders.length,
    orders,
    'no further orders are sent once the fleet has settled',
  );
});

test('when two zones are reclaimed within 6 s, each loss is ordered elsewhere at once and only once', () => {
  const fleet = settledFleet();
  const { platform, daemons } = fleet;
  const firstMs = platform.nowMs;
  platform.reclaim('c', UNAVAILABLE_MS);
  runFor(platform, daemons, 3_000);
  const replacements = platform.receivedOrders.filter(({ atMs }) => atMs >= firstMs);
  assert.ok((replacements[0]?.atMs ?? Number.POSITIVE_INFINITY) - firstMs <= 400);
  assert.ok(replacements.every(({ isSpot, zone }) => isSpot && zone !== 'c'));
  const secondMs = platform.nowMs;
  platform.reclaim('b', UNAVAILABLE_MS);
  runFor(platform, daemons, BOOT_MS + 500);
  const secondReplacements = platform.receivedOrders.filter(({ atMs }) => atMs >= secondMs);
  assert.ok((secondReplacements[0]?.atMs ?? Number.POSITIVE_INFINITY) - secondMs <= 400);
  assert.ok(
    platform.ready >= INITIAL_SERVERS - 1,
    `${platform.ready} servers a boot time after the second loss`,
  );
  assert.equal(repeatedOrders(fleet, firstMs), 0);
  assert.equal(
    platform.countOf('plain'),
    2,
    'plain servers were ordered although spot servers were available',
  );
  assertNoAlternation(fleet);
});

test('while no zone has spot servers, plain ones are added for the work, the cheapest zone first', () => {
  const fleet = settledFleet();
  const { platform, daemons } = fleet;
  for (const zone of ['a', 'b', 'c']) platform.reclaim(zone, UNAVAILABLE_MS);
  runFor(platform, daemons, BOOT_MS + 1_000);
  assert.equal(platform.countOf('plain'), NEEDED);
  assert.ok(
    platform.count('b', 'plain') > NEEDED - 5,
    'the cheapest zone has all plain servers that its limit allows',
  );
  runFor(platform, daemons, 40_000);
  assert.equal(platform.countOf('plain'), 2);
  assert.ok(platform.countOf('spot') >= INITIAL_SERVERS - 2);
  assertNoAlternation(fleet);
});

test('an order that one zone refuses is distributed to the other zones at once', () => {
  const { platform, daemons } = settledFleet();
  platform.reclaim('c', UNAVAILABLE_MS);
  platform.noSpotUntilMs.set('b', platform.nowMs + UNAVAILABLE_MS);
  runFor(platform, daemons, BOOT_MS + 600);
  assert.ok(platform.ready >= INITIAL_SERVERS - 1, `${platform.ready} servers`);
});

test('zones that refused an order are asked again for the servers missing elsewhere', () => {
  const { platform, daemons } = settledFleet();
  platform.reclaim('c', 30 * UNAVAILABLE_MS);
  for (const zone of ['a', 'b']) platform.noSpotUntilMs.set(zone, platform.nowMs + BOOT_MS);
  runFor(platform, daemons, 6 * BOOT_MS);
  assert.ok(platform.ready >= INITIAL_SERVERS, `${platform.ready} servers`);
});

test('replacements of lost servers are removed some time after the zone has its own servers again, not at once', () => {
  const { platform, daemons } = settledFleet();
  platform.reclaim('c', UNAVAILABLE_MS);
  runFor(platform, daemons, UNAVAILABLE_MS + 3 * BOOT_MS);
  assert.ok(platform.count('c', 'spot') >= 13);
  assert.ok(platform.ready > INITIAL_SERVERS);
  runFor(platform, daemons, 60_000);
  assert.equal(platform.ready, INITIAL_SERVERS);
});

for (const failure of ['the holder dies', 'the store refuses the holder'] as const) {
  test(`when ${failure}, another daemon orders replacements for a loss within 2 s, under a higher fence`, () => {
    const fleet = settledFleet();
    const { platform, daemons, holder, others } = fleet;
    const lossMs = platform.nowMs;
    const fence = platform.receivedOrders.at(-1)?.fence ?? 0;
    platform.reclaim('a', UNAVAILABLE_MS);
    if (failure === 'the store refuses the holder') platform.refusedDaemons.add(holder.name);
    runFor(platform, failure === 'the holder dies' ? others : daemons, 6_500);
    const replacements = platform.receivedOrders.filter(({ atMs }) => atMs >= lossMs);
    assert.ok((replacements[0]?.atMs ?? Number.POSITIVE_INFINITY) - lossMs <= 2_000);
    assert.ok(replacements.every((order) => order.daemon !== holder.name && order.fence > fence));
    assert.equal(new Set(replacements.map(({ daemon }) => daemon)).size, 1);
    assert.ok(platform.ready >= INITIAL_SERVERS - 1);
    platform.refusedDaemons.clear();
    runFor(platform, daemons, 40_000);
    assertNoAlternation(fleet);
  });
}

test('the holder orders replacements for each loss itself: no other daemon takes the duty over', () => {
  const fleet = settledFleet();
  const { platform, daemons, holder } = fleet;
  for (const zone of ['a', 'b', 'c', 'a']) {
    platform.reclaim(zone, UNAVAILABLE_MS);
    runFor(platform, daemons, 2 * LEASE_MS);
  }
  runFor(platform, daemons, 40_000);
  assert.deepEqual(
    [...new Set(platform.receivedOrders.map(({ daemon }) => daemon))],
    [holder.name],
  );
});

test('more work adds servers beyond the initial number, which are removed only after a lasting decrease', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 36;
  runFor(platform, daemons, 2 * BOOT_MS);
  const ready = platform.ready;
  assert.ok(ready >= 51, `${ready} servers`);
  platform.neededWithHeadroom = 20;
  runFor(platform, daemons, 4 * BOOT_MS);
  assert.equal(platform.ready, ready);
  runFor(platform, daemons, 12 * BOOT_MS);
  assert.equal(platform.ready, INITIAL_SERVERS);
});

test('until there is work, the initial servers are assumed to be needed; from then on the work decides', () => {
  const { platform, daemons } = settledFleet(0);
  assert.equal(platform.ready, 1.5 * INITIAL_SERVERS);
  assert.equal(platform.countOf('plain'), 2);
  platform.neededWithHeadroom = 20;
  runFor(platform, daemons, 20 * BOOT_MS);
  assert.equal(platform.ready, INITIAL_SERVERS);
  platform.neededWithHeadroom = 0;
  runFor(platform, daemons, 20 * BOOT_MS);
  assert.equal(platform.ready, INITIAL_SERVERS, 'the need stays known while there is no work');
});

test('implausibly high demand raises the number of servers only up to the growth limit', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 1_000;
  runFor(platform, daemons, 4 * BOOT_MS);
  assert.equal(platform.ready, 1.5 * INITIAL_SERVERS);
});

test('a single failed server is ordered again in its own zone', () => {
  const { platform, daemons } = settledFleet();
  const beforeMs = platform.nowMs;
  platform.order(
    { service: 'reader', zone: 'a', isSpot: true, servers: platform.count('a', 'spot') - 1 },
    'nobody',
    0,
  );
  runFor(platform, daemons, BOOT_MS + 500);
  const orders = platform.receivedOrders.filter(
    ({ atMs, daemon }) => atMs >= beforeMs && daemon !== 'nobody',
  );
  assert.deepEqual(new Set(orders.map(({ zone }) => zone)), new Set(['a']));
  assert.equal(platform.ready, INITIAL_SERVERS);
});

test('if spot servers are not cheaper, nothing is ordered and no figures are reported', () => {
  const platform = new SpotPlatform(INITIAL_SERVERS / 3, 200, 1);
  const daemons = [new SpotDaemon(platform, 'x')];
  runFor(platform, daemons, 60_000);
  assert.deepEqual(platform.receivedOrders, []);
  assert.deepEqual(daemons[0]?.duty.summaries, []);
});

test('plain servers added while no zone has spot servers leave room to order spot servers later', () => {
  const { platform, daemons } = settledFleet();
  platform.neededWithHeadroom = 100;
  for (const zone of ['a', 'b', 'c']) platform.reclaim(zone, 10 * UNAVAILABLE_MS);
  runFor(platform, daemons, 4 * BOOT_MS);
  for (const zone of ['a', 'b', 'c']) assert.ok(platform.count(zone, 'plain') <= 38);
  runFor(platform, daemons, 10 * UNAVAILABLE_MS + 40 * BOOT_MS);
  assert.equal(platform.countOf('plain'), 2);
});
