/**
 * Fleets of daemons before a server that names a limit, in virtual time: with equal parts of the limit and a request
 * saved up at each, nine daemons would send 9 + 4 in 4 s at 1 a second, of which 11 are allowed, and 340 would send 344.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PermitReservation } from '../../src/shell/gateway/limit-coordinator.js';
import { FleetOfLimits } from './support/limit-fleet.js';
import { allowedInSpan, SETTLE_MS } from './support/limited-server.js';

const BEFORE_MS = 5_000;
const LIMITED_MS = 25_000;
/** Until what was sent before the limit was named no longer counts, and a little. */
const STEADY_AFTER_MS = 7_000;

/** All daemons get alike, together a multiple of the limit. */
function evenly(fleet: FleetOfLimits, perSecond: number): () => number {
  return () => perSecond / fleet.daemons.length;
}

function assertKept(fleet: FleetOfLimits, perSecond: number): void {
  assert.ok(fleet.firstNamedMs !== undefined);
  const worst = fleet.worstSpan(fleet.firstNamedMs + SETTLE_MS);
  assert.ok(worst <= allowedInSpan(perSecond), `${worst} in 4 s at ${perSecond} a second`);
}

/** The part of the limit that was used since a time. */
function usedSince(fleet: FleetOfLimits, fromMs: number, perSecond: number): number {
  const nowMs = fleet.timers.nowMs();
  return fleet.between(fromMs, nowMs) / ((perSecond * (nowMs - fromMs)) / 1_000);
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
  test(`${daemons} daemons before a server that names ${perSecond} a second and is offered ${offered}`, async () => {
    const fleet = new FleetOfLimits({ daemons, seed: daemons * 1_000 + offered, lossShare: 0.01 });
    const rate = evenly(fleet, offered);
    await fleet.play(BEFORE_MS, rate);
    fleet.perSecond = perSecond;
    await fleet.play(LIMITED_MS, rate);
    assertKept(fleet, perSecond);
    const used = usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, perSecond);
    assert.ok(used >= 0.5, `${used.toFixed(2)} of the limit is used`);
  });
}

test('when the daemon that grants falls silent another takes over, and the limit is kept and used', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 7 });
  fleet.perSecond = 5;
  await fleet.play(10_000, evenly(fleet, 25));
  const granter = fleet.granter();
  assert.ok(granter !== undefined);
  granter.isCutOff = true;
  const place = fleet.daemons.indexOf(granter);
  await fleet.play(20_000, (at) => (at === place ? 0 : 25 / 8));
  assertKept(fleet, 5);
  // Two asks are left unanswered, and who takes over waits for what was granted before.
  assert.ok(usedSince(fleet, fleet.timers.nowMs() - 13_000, 5) >= 0.5);
});

test('two daemons that both grant stay within the limit together', async () => {
  const fleet = new FleetOfLimits({ daemons: 10, seed: 8 });
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

test('where one message in five is lost, the limit is kept and half of it is used', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 9, lossShare: 0.2 });
  await fleet.play(BEFORE_MS, evenly(fleet, 20));
  fleet.perSecond = 4;
  await fleet.play(30_000, evenly(fleet, 20));
  assertKept(fleet, 4);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, 4) >= 0.5);
});

test('one daemon with all requests beside 82 idle ones uses the limit', async () => {
  const fleet = new FleetOfLimits({ daemons: 83, seed: 10 });
  fleet.perSecond = 6;
  await fleet.play(20_000, (place) => (place === 40 ? 30 : 0));
  assertKept(fleet, 6);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, 6) >= 0.5);
});

test('a limit that falls is kept, and one that rises is used', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 11 });
  fleet.perSecond = 10;
  await fleet.play(10_000, evenly(fleet, 60));
  fleet.perSecond = 2;
  const fellMs = fleet.timers.nowMs();
  await fleet.play(12_000, evenly(fleet, 60));
  assert.ok(fleet.worstSpan(fellMs + 4_000) <= allowedInSpan(2));
  fleet.perSecond = 20;
  const roseMs = fleet.timers.nowMs();
  await fleet.play(12_000, evenly(fleet, 60));
  assert.ok(usedSince(fleet, roseMs + STEADY_AFTER_MS, 20) >= 0.5);
});

test('a limit that ends holds no daemon back, also those that got no answer meanwhile', async () => {
  const fleet = new FleetOfLimits({ daemons: 83, seed: 12 });
  fleet.perSecond = 1;
  await fleet.play(15_000, evenly(fleet, 40));
  fleet.perSecond = undefined;
  await fleet.play(5_000, evenly(fleet, 40));
  const nowMs = fleet.timers.nowMs();
  assert.ok(fleet.between(nowMs - 1_000, nowMs) >= 25);
});

test('a server that takes none is tried now and then, so that the end of that is seen', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 13 });
  fleet.perSecond = 0;
  await fleet.play(20_000, evenly(fleet, 20));
  assertKept(fleet, 0);
  fleet.perSecond = undefined;
  await fleet.play(10_000, evenly(fleet, 20));
  const nowMs = fleet.timers.nowMs();
  assert.ok(fleet.between(nowMs - 1_000, nowMs) >= 10);
});

test('where all servers of a service name limits, requests wait a moment and the limits are kept and used', async () => {
  const fleet = new FleetOfLimits({
    daemons: 9,
    seed: 14,
    servers: 6,
    lossShare: 0.01,
    waitMs: 150,
  });
  fleet.perSecond = 2;
  const all = 2 * fleet.servers.length;
  await fleet.play(20_000, evenly(fleet, 1.5 * all));
  assertKept(fleet, 2);
  assert.ok(usedSince(fleet, (fleet.firstNamedMs ?? 0) + STEADY_AFTER_MS, all) >= 0.5);
});

/**
 * A daemon whose list loses the server while it holds a permit for a run, as a prompt is read elsewhere, knows nothing of
 * its limit any more. Giving the permit back, it told the one that grants that there was no limit as of now, and that one
 * told all.
 */
test('a daemon that lists the server no more ends its limit for nobody', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 15 });
  fleet.perSecond = 5;
  await fleet.play(12_000, evenly(fleet, 30));
  const granter = fleet.granter();
  const [server] = fleet.servers;
  const asker = fleet.daemons.find((daemon) => daemon !== granter);
  assert.ok(granter !== undefined && server !== undefined && asker !== undefined);
  let place: PermitReservation | undefined;
  while (place === undefined) {
    void asker.limits.requestPermits([server]);
    await fleet.play(5, () => 0);
    place = asker.limits.reservePermit(server.service, () => server);
  }
  asker.fleet.forgetEndedBoots({ removed: [server], restarted: [] });
  asker.limits.returnPermits(place);
  await fleet.play(1_000, () => 0);
  assert.equal(granter.fleet.limits.of(server.id)?.perSecond, 5);
});

/**
 * Entries of the list lapse while the store is away, and are back within seconds. Limits were forgotten with the entry, at
 * all daemons together, so the server got what came to it until each had learnt its limit again.
 */
test('a limit outlasts the moment in which the server is not listed', async () => {
  const fleet = new FleetOfLimits({ daemons: 9, seed: 16 });
  fleet.perSecond = 2;
  // As long as a prompt is read.
  fleet.answerMs = 500;
  await fleet.play(12_000, evenly(fleet, 40));
  for (const { fleet: view } of fleet.daemons) view.forgetEndedBoots(view.directory.replaceAll([]));
  await fleet.play(800, evenly(fleet, 40));
  for (const { fleet: view } of fleet.daemons) view.directory.replaceAll(fleet.servers);
  await fleet.play(8_000, evenly(fleet, 40));
  assertKept(fleet, 2);
});
