/**
 * Fleets of daemons before a server that names a rate limit, in virtual time. If each daemon had an equal share of the
 * limit and a burst of one request, nine daemons would send 9 + 4 requests in 4 s at a limit of 1 a second, where 11 are
 * allowed, and 340 daemons would send 344.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PermitReservation } from '../../src/shell/gateway/limit-coordinator.js';
import { LimitFleet } from './support/limit-fleet.js';
import { allowedInSpan, SETTLE_MS } from './support/limited-server.js';

const BEFORE_MS = 5_000;
const LIMITED_MS = 25_000;
/** Time after which requests from before the limit was named no longer count, with some margin. */
const STEADY_AFTER_MS = 7_000;

/** The same rate of requests for each daemon, `perSecond` in sum. */
function evenly(fleet: LimitFleet, perSecond: number): () => number {
  return () => perSecond / fleet.daemons.length;
}

function assertKept(fleet: LimitFleet, perSecond: number): void {
  assert.ok(fleet.firstNamedMs !== undefined);
  const maxCount = fleet.maxInSpan(fleet.firstNamedMs + SETTLE_MS);
  assert.ok(
    maxCount <= allowedInSpan(perSecond),
    `${maxCount} requests in 4 s at a limit of ${perSecond} a second`,
  );
}

/** The share of the limit that was used since a time. */
function usedSince(fleet: LimitFleet, fromMs: number, perSecond: number): number {
  const nowMs = fleet.timers.nowMs();
  return fleet.countBetween(fromMs, nowMs) / ((perSecond * (nowMs - fromMs)) / 1_000);
}

for (const [daemons, perSecond, offered] of [
  [9, 1, 4],
  [9, 1.2, 20],
  [9, 3.8, 15],
  [9, 0.2, 3],
  [9, 40, 200],
  [83, 1, 6],
  [83, 5, 25],
  [340, 2, 8],
  [340, 12, 60],
] as const) {
  test(`${daemons} daemons with ${offered} requests a second keep and use a limit of ${perSecond} a second`, async () => {
    const fleet = new LimitFleet({ daemons, seed: daemons * 1_000 + offered, lossRate: 0.01 });
    const rate = evenly(fleet, offered);
    await fleet.play(BEFORE_MS, rate);
    fleet.perSecond = perSecond;
    await fleet.play(LIMITED_MS, rate);
    assertKept(fleet, perSecond);
    const used = usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, perSecond);
    assert.ok(used >= 0.5, `${used.toFixed(2)} of the limit is used`);
  });
}

test('when the granter becomes unreachable, another daemon takes over, and the limit is kept and used', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 7 });
  fleet.perSecond = 5;
  await fleet.play(10_000, evenly(fleet, 25));
  const granter = fleet.granter();
  assert.ok(granter !== undefined);
  granter.isPartitioned = true;
  const place = fleet.daemons.indexOf(granter);
  await fleet.play(20_000, (at) => (at === place ? 0 : 25 / 8));
  assertKept(fleet, 5);
  // Two permit requests time out first, and the new granter waits until earlier grants no longer count.
  assert.ok(usedSince(fleet, fleet.timers.nowMs() - 13_000, 5) >= 0.5);
});

test('two daemons that both grant stay within the limit together', async () => {
  const fleet = new LimitFleet({ daemons: 10, seed: 8 });
  fleet.perSecond = 20;
  const { daemons, timers } = fleet;
  const lists = [daemons.slice(0, 5), daemons.slice(5)].map((half) =>
    half.map((daemon) => daemon.roster.allPeers()),
  );
  for (const [half, list] of lists.entries()) {
    const first = half * 5;
    const peers = (list[0] ?? []).filter(({ port }) => port >= first && port < first + 5);
    const own = { name: `front-${first}`, host: '127.0.0.1', port: first, zone: 'z' };
    const all = peers.some(({ port }) => port === first) ? peers : [...peers, own];
    for (const daemon of daemons.slice(first, first + 5))
      daemon.roster.replace(all, timers.nowMs());
  }
  await fleet.play(25_000, evenly(fleet, 200));
  const granting = daemons.filter(({ limits }) => limits.grantedServers > 0);
  assert.equal(granting.length, 2);
  assertKept(fleet, 20);
});

test('with one message in five lost, the limit is kept and half of it is used', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 9, lossRate: 0.2 });
  await fleet.play(BEFORE_MS, evenly(fleet, 20));
  fleet.perSecond = 4;
  await fleet.play(30_000, evenly(fleet, 20));
  assertKept(fleet, 4);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, 4) >= 0.5);
});

test('one daemon that gets all requests uses the limit beside 82 idle daemons', async () => {
  const fleet = new LimitFleet({ daemons: 83, seed: 10 });
  fleet.perSecond = 6;
  await fleet.play(20_000, (place) => (place === 40 ? 30 : 0));
  assertKept(fleet, 6);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, 6) >= 0.5);
});

test('a limit that falls is kept, and one that rises is used', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 11 });
  fleet.perSecond = 10;
  await fleet.play(10_000, evenly(fleet, 60));
  fleet.perSecond = 2;
  const fellMs = fleet.timers.nowMs();
  await fleet.play(12_000, evenly(fleet, 60));
  assert.ok(fleet.maxInSpan(fellMs + 4_000) <= allowedInSpan(2));
  fleet.perSecond = 20;
  const roseMs = fleet.timers.nowMs();
  await fleet.play(12_000, evenly(fleet, 60));
  assert.ok(usedSince(fleet, roseMs + STEADY_AFTER_MS, 20) >= 0.5);
});

test('after a limit ends, no daemon holds requests back, not even those that got no answer meanwhile', async () => {
  const fleet = new LimitFleet({ daemons: 83, seed: 12 });
  fleet.perSecond = 1;
  await fleet.play(15_000, evenly(fleet, 40));
  fleet.perSecond = undefined;
  await fleet.play(5_000, evenly(fleet, 40));
  const nowMs = fleet.timers.nowMs();
  assert.ok(fleet.countBetween(nowMs - 1_000, nowMs) >= 25);
});

test('a server with a limit of 0 is tried from time to time, so that the end of the limit is noticed', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 13 });
  fleet.perSecond = 0;
  await fleet.play(20_000, evenly(fleet, 20));
  assertKept(fleet, 0);
  fleet.perSecond = undefined;
  await fleet.play(10_000, evenly(fleet, 20));
  const nowMs = fleet.timers.nowMs();
  assert.ok(fleet.countBetween(nowMs - 1_000, nowMs) >= 10);
});

test('where all servers of a service name limits, requests wait briefly, and the limits are kept and used', async () => {
  const fleet = new LimitFleet({
    daemons: 9,
    seed: 14,
    servers: 6,
    lossRate: 0.01,
    waitMs: 150,
  });
  fleet.perSecond = 2;
  const all = 2 * fleet.servers.length;
  await fleet.play(20_000, evenly(fleet, 1.5 * all));
  assertKept(fleet, 2);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, all) >= 0.5);
});

/**
 * A daemon whose list loses a server no longer knows its limit, but may still hold a reserved permit for it. When it
 * returned that permit, it advertised that the server has no limit now, and the granter broadcast that to all daemons.
 */
test('a daemon that no longer lists a server does not end its limit at the others', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 15 });
  fleet.perSecond = 5;
  await fleet.play(12_000, evenly(fleet, 30));
  const granter = fleet.granter();
  const [server] = fleet.servers;
  const requester = fleet.daemons.find((daemon) => daemon !== granter);
  assert.ok(granter !== undefined && server !== undefined && requester !== undefined);
  let place: PermitReservation | undefined;
  while (place === undefined) {
    void requester.limits.requestPermits([server]);
    await fleet.play(5, () => 0);
    place = requester.limits.reservePermit(server.service, () => server);
  }
  requester.fleet.forgetEndedBoots({ removed: [server], restarted: [] });
  requester.limits.returnPermits(place);
  await fleet.play(1_000, () => 0);
  assert.equal(granter.fleet.limits.of(server.id)?.perSecond, 5);
});

/**
 * Entries of the list of servers expire while the store is unavailable, and return within seconds. When limits were
 * dropped with the entry, at all daemons at once, the server got all requests until each daemon had learned its limit
 * again.
 */
test('a limit survives a short time in which its server is not listed', async () => {
  const fleet = new LimitFleet({ daemons: 9, seed: 16 });
  fleet.perSecond = 2;
  // As long as a prefill.
  fleet.answerMs = 500;
  await fleet.play(12_000, evenly(fleet, 40));
  for (const { fleet: view } of fleet.daemons) view.forgetEndedBoots(view.directory.replaceAll([]));
  await fleet.play(800, evenly(fleet, 40));
  for (const { fleet: view } of fleet.daemons) view.directory.replaceAll(fleet.servers);
  await fleet.play(8_000, evenly(fleet, 40));
  assertKept(fleet, 2);
});
