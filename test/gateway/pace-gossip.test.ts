/** Daemons learn engines' paces together: by their relays, within a second of a start, and within few bytes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack } from 'msgpackr';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { seededRandom } from './support/engine-simulation.js';
import { FleetOfTellers, seeReads, type Teller } from './support/pace-gossip-fleet.js';

const ZONES = ['a', 'b', 'c'];
const SPEEDS = [0.7, 0.7, 1.7];
const paceOf = (engine: number) => SPEEDS[engine % SPEEDS.length] ?? 1;

/** Each daemon sees a few prompts a second, at engines by chance. */
function playTraffic(
  fleet: FleetOfTellers,
  engines: number,
  spanMs: number,
  perSecond: number,
): void {
  const random = seededRandom(6);
  const chance = (perSecond * 60) / 1_000;
  for (let passedMs = 0; passedMs < spanMs; passedMs += 60) {
    for (const daemon of fleet.live.values()) {
      if (random() >= chance) continue;
      seeReads(daemon, paceOf, [Math.floor(random() * engines)], fleet.timers.nowMs());
    }
    fleet.advance(60);
  }
}

/** How many engines' paces a daemon has within a fifth, relative to each other. */
function knownBy({ paces, speed }: Teller, engines: number): number {
  const usualMs = 4 + 9_000 / 50;
  let known = 0;
  for (let engine = 0; engine < engines; engine += 1) {
    const believedMs = speed.prefillMs(9_000) / paces.paceOf(`e${engine}`);
    if (Math.abs(Math.log((believedMs * paceOf(engine)) / usualMs)) < 0.2) known += 1;
  }
  return known;
}

test('a fleet learns together what each daemon sees little of', () => {
  const fleet = new FleetOfTellers(86, ZONES);
  fleet.startAll();
  playTraffic(fleet, 63, 8_000, 2);
  for (const daemon of fleet.live.values()) {
    const known = knownBy(daemon, 63);
    assert.ok(known >= 57, `${daemon.daemon.name} knows ${known} of 63`);
  }
});

test('the line is known to all before a daemon by itself would trust it', () => {
  const fleet = new FleetOfTellers(86, ZONES);
  fleet.startAll();
  playTraffic(fleet, 63, 1_000, 2);
  for (const { speed } of fleet.live.values()) assert.equal(speed.isTrusted, true);
});

test('a daemon that starts has the paces of its zone within a second', () => {
  const fleet = new FleetOfTellers(86, ZONES);
  fleet.startAll();
  playTraffic(fleet, 63, 8_000, 2);
  const [name = ''] = [...fleet.live.keys()].filter(
    (one) => fleet.live.get(one)?.roster.isRelay(fleet.timers.nowMs()) === false,
  );
  fleet.end(name);
  const started = fleet.start(name);
  fleet.advance(960);
  assert.ok(knownBy(started, 63) >= 57, `${knownBy(started, 63)} of 63`);
});

test('a relay that starts again asks others of its zone, and knows what they do', () => {
  const fleet = new FleetOfTellers(24, ['a']);
  fleet.startAll();
  playTraffic(fleet, 12, 12_000, 3);
  const { name } = fleet.relayOf('a').daemon;
  fleet.end(name);
  const started = fleet.start(name);
  fleet.advance(960);
  assert.ok(knownBy(started, 12) >= 11, `${knownBy(started, 12)} of 12`);
});

test('when a relay dies each keeps what it has, and the next one goes on', () => {
  const fleet = new FleetOfTellers(24, ['a', 'b']);
  fleet.startAll();
  playTraffic(fleet, 12, 10_000, 3);
  const before = fleet.relayOf('a').daemon.name;
  fleet.end(before);
  fleet.advance(1_200);
  for (const daemon of fleet.live.values()) assert.ok(knownBy(daemon, 12) >= 11);
  fleet.advance(2_400);
  const next = fleet.relayOf('a');
  assert.notEqual(next.daemon.name, before);
  // An engine that nobody has seen before becomes known in both zones.
  for (const daemon of fleet.live.values()) {
    if (daemon.daemon.zone !== 'a') continue;
    seeReads(daemon, () => 0.5, [50, 50], fleet.timers.nowMs());
  }
  fleet.advance(3_000);
  for (const { paces, daemon } of fleet.live.values()) {
    assert.ok(paces.paceOf('e50') < 0.65, `${daemon.name}: ${paces.paceOf('e50')}`);
  }
});

test('a small fleet tells everyone, and a daemon that starts asks', () => {
  const fleet = new FleetOfTellers(4, ZONES);
  fleet.startAll();
  playTraffic(fleet, 6, 10_000, 5);
  for (const daemon of fleet.live.values()) assert.equal(knownBy(daemon, 6), 6);
  fleet.end('d3');
  const started = fleet.start('d3');
  fleet.advance(960);
  assert.equal(knownBy(started, 6), 6);
});

test('paces take at most 15% of the bytes that telling of work may: 614 a second to each daemon', () => {
  const fleet = new FleetOfTellers(24, ['a']);
  fleet.startAll();
  // Until what may be sent at once is spent.
  playTraffic(fleet, 820, 15_000, 29);
  for (const { sent } of fleet.live.values()) sent.clear();
  playTraffic(fleet, 820, 30_000, 29);
  const relay = fleet.relayOf('a');
  const followers = [...fleet.live.values()].filter((one) => one !== relay);
  const sum = (bytes: Iterable<number>) => [...bytes].reduce((total, one) => total + one, 0) / 30;
  const mostToOne = Math.max(...relay.sent.values()) / 30;
  // A message more or less falls into the span.
  assert.ok(mostToOne <= 650, `the relay sends ${mostToOne} B/s to one daemon`);
  for (const { sent } of followers) {
    assert.ok(sum(sent.values()) <= 650, `a daemon sends ${sum(sent.values())} B/s`);
  }
});

test('where nothing changes next to nothing is told', () => {
  const fleet = new FleetOfTellers(24, ['a']);
  fleet.startAll();
  playTraffic(fleet, 12, 10_000, 3);
  fleet.advance(10_000);
  for (const { sent } of fleet.live.values()) sent.clear();
  fleet.advance(20_000);
  const relay = fleet.relayOf('a');
  const bytesPerSecond = Math.max(...relay.sent.values()) / 20;
  assert.ok(bytesPerSecond < 80, `${bytesPerSecond} B/s`);
});

test('a message of paces is read as it was written, and nonsense in it is counted in one line', () => {
  const line = { weight: 4, x: 8_000, y: 400, xx: 20_000_000, xy: 1_000_000 };
  const engines = [{ engineId: 'e1', logPace: -0.357, weight: 2.5 }];
  const services = [
    { service: 's', line, engines },
    { service: 't', line: undefined, engines: [] },
  ];
  const told = {
    kind: 'paces',
    message: { daemon: 'a', zone: 'z', purpose: 'seen', services },
  } as const;
  assert.deepEqual(decodePeerMessage(encodePeerMessage(told)), told);
  const fleet = new FleetOfTellers(4, ZONES);
  const { teller, paces, ignored } = fleet.start('d0');
  const bad = [
    ['e1', Number.NaN, 10],
    ['e1', -9e9, 10],
    ['e1', 500, -10],
    ['unknown', 500, 10],
  ];
  const bytes = pack([12, 'd1', 'b', 'known', [['s', [Number.NaN, -1, 0, 1e99, 3], bad]]]);
  for (let time = 0; time < 3; time += 1) {
    const message = decodePeerMessage(bytes);
    assert.equal(message?.kind, 'paces');
    if (message?.kind === 'paces') teller.handleMessage(message.message, () => undefined);
  }
  assert.deepEqual(ignored, [5], 'what comes soon after is counted for the next line');
  assert.equal(paces.paceOf('e1'), 1);
  assert.equal(decodePeerMessage(pack([13, 'a kind of a later version'])), undefined);
});
