/**
 * Guards against streams that go on at another software version at a daemon that is out of step in a release: cut off,
 * standing still, with an incomplete list of daemons, or asking daemons that have forgotten what they kept.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import {
  type BegunStream,
  CONTACT_MS,
  LONGER_THAN_ANY_STREAM_MS,
  StreamFleet,
} from './support/stream-fleet.js';

/** Enough that each daemon keeps records of some streams and none of others. */
const STREAMS = 24;
/** Enough that the keepers of some are the last daemons to answer. */
const MANY_STREAMS = 96;
/** Well after any cut has been noticed. */
const LONG_CUT_MS = 4 * CONTACT_MS;
const SHORT_CUT_MS = 100;
/** Enough for daemons that answer, and less than a wait for one that does not. */
const ROUND_TRIPS_MS = 20;

const ONE_ZONE = { a1: 'a', a2: 'a', a3: 'a', a4: 'a', a5: 'a' };
const NINE = { ...ONE_ZONE, a6: 'a', a7: 'a', a8: 'a', a9: 'a' };
const TWO_ZONES = { a1: 'a', a2: 'a', a3: 'a', b1: 'b', b2: 'b', b3: 'b' };
const THREE_ZONES = { a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c', c2: 'c' };
const LARGE = Object.fromEntries(
  ['a', 'b'].flatMap((zone) => Array.from({ length: 8 }, (_, index) => [`${zone}${index}`, zone])),
);

let fleet: StreamFleet;

beforeEach(() => {
  fleet = new StreamFleet();
});

afterEach(() => fleet.stop());

/** A fleet in which one version alone has served for longer than any stream lives. */
async function startAtV1(
  zones: Readonly<Record<string, string>>,
  relays: readonly string[] = [],
): Promise<void> {
  await fleet.start(zones, relays);
  await fleet.join('v1');
  await fleet.pass(LONGER_THAN_ANY_STREAM_MS);
}

async function beginAt(
  daemons: readonly string[],
  version: string,
  count = STREAMS,
): Promise<readonly BegunStream[]> {
  const streams: BegunStream[] = [];
  for (let begun = 0; begun < count; begun += 1) {
    streams.push(await fleet.begin(daemons[begun % daemons.length] ?? '', version));
  }
  return streams;
}

/** No stream goes on at another version; @returns how many go on. */
async function takeUpAt(daemon: string, streams: readonly BegunStream[]): Promise<number> {
  const versions = await fleet.versionsTakenUp(daemon, streams);
  for (const [index, { id, softwareVersion }] of streams.entries()) {
    const version = versions[index] ?? softwareVersion;
    assert.equal(version, softwareVersion, `${id} taken up at ${daemon}`);
  }
  return versions.filter((version) => version !== undefined).length;
}

for (const [what, zones, apart] of [
  ['one daemon of five', ONE_ZONE, ['a1']],
  ['two daemons of five', ONE_ZONE, ['a1', 'a2']],
  ['one zone of two', TWO_ZONES, ['a1', 'a2', 'a3']],
  ['one daemon of a zone of two', TWO_ZONES, ['a1']],
  ['one zone of three', THREE_ZONES, ['a1', 'a2']],
  ['one large zone of two', LARGE, Object.keys(LARGE).filter((name) => name.startsWith('a'))],
] as const) {
  for (const cutMs of [SHORT_CUT_MS, LONG_CUT_MS]) {
    test(`streams of a version that joins in a cut of ${what} (${cutMs} ms) don't go on there at the version before`, async () => {
      await startAtV1(zones);
      fleet.cutOff(apart);
      await fleet.join('v2');
      await fleet.pass(cutMs);
      const others = Object.keys(zones).filter((name) => !apart.some((one) => one === name));
      const streams = await beginAt(others, 'v2');
      for (const daemon of apart) await takeUpAt(daemon, streams);
      fleet.reconnect();
      for (const daemon of apart) assert.equal(await takeUpAt(daemon, streams), STREAMS);
    });
  }
}

for (const outOfStepMs of [SHORT_CUT_MS, LONG_CUT_MS]) {
  test(`streams of a version that joins go on at it in a zone whose relay is cut off from the store (${outOfStepMs} ms)`, async () => {
    await startAtV1(LARGE, ['a0', 'b0']);
    fleet.daemon('a0').link.set('silent');
    await fleet.join('v2');
    await fleet.pass(outOfStepMs);
    const streams = await beginAt(['b1', 'b2'], 'v2');
    for (const name of ['a0', 'a1']) assert.equal(await takeUpAt(name, streams), STREAMS);
  });

  test(`streams of a version that joins don't go on at another one in a zone that is cut off with its relay (${outOfStepMs} ms)`, async () => {
    await startAtV1(LARGE, ['a0', 'b0']);
    fleet.daemon('a0').link.set('silent');
    fleet.isCut = (from, to) => from[0] !== to[0];
    await fleet.join('v2');
    await fleet.pass(outOfStepMs);
    const streams = await beginAt(['b1', 'b2'], 'v2');
    for (const name of ['a0', 'a1']) assert.equal(await takeUpAt(name, streams), 0);
  });
}

test("streams that begin in one zone of three don't go on at the version before where only it reaches the store", async () => {
  await startAtV1(THREE_ZONES);
  for (const name of ['a1', 'a2', 'b1', 'b2']) fleet.daemon(name).link.set('silent');
  fleet.isCut = (from, to) => from.startsWith('c') !== to.startsWith('c');
  await fleet.pass(LONG_CUT_MS);
  await fleet.join('v2');
  const streams = await beginAt(['c1', 'c2'], 'v2');
  for (const daemon of ['a1', 'b2']) await takeUpAt(daemon, streams);
});

test("streams don't go on at another version where a restore has emptied the list of daemons", async () => {
  await startAtV1(ONE_ZONE);
  fleet.daemon('a1').link.set('silent');
  await fleet.join('v2');
  const streams = await beginAt(['a2', 'a3'], 'v2');
  fleet.listPeers('a1', []);
  assert.equal(await takeUpAt('a1', streams), STREAMS);
  fleet.cutOff(['a1']);
  await takeUpAt('a1', await beginAt(['a2', 'a3'], 'v2'));
});

test('streams that begin where a restore has emptied the list of daemons go on after their daemon has died', async () => {
  await fleet.start(ONE_ZONE);
  await fleet.join('v1');
  await fleet.join('v2');
  fleet.listPeers('a2', []);
  const streams = await beginAt(['a2'], 'v2');
  fleet.kill(['a2']);
  assert.equal(await takeUpAt('a1', streams), STREAMS);
});

test("streams whose records were lost with all their keepers don't go on at another version at a daemon out of step", async () => {
  await startAtV1(ONE_ZONE);
  fleet.daemon('a1').link.set('silent');
  await fleet.join('v2');
  const others = ['a2', 'a3', 'a4', 'a5'];
  const streams = await beginAt(others, 'v2');
  fleet.kill(others);
  fleet.restart(others);
  for (const name of others) fleet.daemon(name).link.set('silent');
  await fleet.pass(SHORT_CUT_MS);
  await takeUpAt('a1', streams);
});

for (const stillMs of [SHORT_CUT_MS, LONG_CUT_MS]) {
  test(`streams of a version that joins go on at it at a daemon that wakes after ${stillMs} ms`, async () => {
    await startAtV1(THREE_ZONES);
    fleet.standStill(['a1']);
    await fleet.join('v2');
    await fleet.pass(stillMs);
    const streams = await beginAt(['b1', 'c1'], 'v2');
    fleet.goOn(['a1']);
    assert.equal(await takeUpAt('a1', streams), STREAMS);
  });

  test(`streams that begin while all others stand still for ${stillMs} ms don't go on at another version`, async () => {
    await startAtV1(ONE_ZONE);
    const others = ['a1', 'a3', 'a4', 'a5'];
    fleet.standStill(others);
    await fleet.join('v2');
    const streams = await beginAt(['a2'], 'v2');
    await fleet.pass(stillMs);
    fleet.kill(['a2']);
    fleet.goOn(others);
    await takeUpAt('a1', streams);
    await fleet.pass(CONTACT_MS);
    assert.equal(await takeUpAt('a1', streams), STREAMS);
  });
}

for (const [what, outOfStepMs] of [
  ['out of step', LONG_CUT_MS],
  ['back in step', LONG_CUT_MS + CONTACT_MS],
] as const) {
  test(`streams of servers that crashed, with records lost, don't go on at another version at a daemon ${what}`, async () => {
    await startAtV1(ONE_ZONE);
    fleet.daemon('a1').link.set('silent');
    await fleet.join('v2');
    const others = ['a2', 'a3', 'a4', 'a5'];
    const streams = await beginAt(others, 'v2');
    await fleet.leave('v2');
    await fleet.pass(LONG_CUT_MS);
    if (outOfStepMs > LONG_CUT_MS) {
      fleet.daemon('a1').link.set('open');
      await fleet.pass(CONTACT_MS);
    }
    fleet.kill(others);
    fleet.restart(others);
    await fleet.pass(CONTACT_MS);
    await takeUpAt('a1', streams);
  });
}

for (const [what, zones, dead] of [
  ['it of five died', ONE_ZONE, ['a2']],
  ['it and one more of five died', ONE_ZONE, ['a2', 'a5']],
  ['it of nine died', NINE, ['a2']],
] as const) {
  test(`streams of a version that only their daemon knew go on at it after ${what}`, async () => {
    await startAtV1(zones);
    const others = Object.keys(zones).filter((name) => name !== 'a2');
    for (const name of others) fleet.daemon(name).link.set('silent');
    await fleet.join('v2');
    const streams = await beginAt(['a2'], 'v2', MANY_STREAMS);
    fleet.kill(dead);
    for (const name of ['a1', 'a3', 'a4']) {
      assert.equal(await takeUpAt(name, streams), MANY_STREAMS);
    }
  });
}

for (const [what, zones, dead, asked] of [
  ['one daemon of five', ONE_ZONE, ['a2'], ['a1', 'a5']],
  ['three daemons of five', ONE_ZONE, ['a2', 'a3', 'a4'], ['a1', 'a5']],
  ['one zone of two', TWO_ZONES, ['b1', 'b2', 'b3'], ['a1', 'a2']],
  ['one zone of three', THREE_ZONES, ['b1', 'b2'], ['a1', 'c2']],
] as const) {
  test(`streams of the only version go on after ${what} died`, async () => {
    await startAtV1(zones);
    const streams = await beginAt([...dead], 'v1');
    fleet.kill([...dead]);
    for (const daemon of asked) assert.equal(await takeUpAt(daemon, streams), STREAMS);
  });
}

test('streams of the only version go on without a wait for a daemon that died', async () => {
  await startAtV1(ONE_ZONE);
  const streams = await beginAt(['a2'], 'v1');
  fleet.kill(['a2']);
  const startMs = fleet.timers.nowMs();
  assert.equal(await takeUpAt('a1', streams), STREAMS);
  assert.ok(fleet.timers.nowMs() - startMs <= ROUND_TRIPS_MS);
});

test('streams of the only version go on after their daemon died while the store is away for all', async () => {
  await startAtV1(ONE_ZONE);
  const before = await beginAt(['a2'], 'v1');
  for (const { link } of fleet.daemons.values()) link.set('refuses');
  await fleet.pass(LONG_CUT_MS);
  const during = await beginAt(['a2'], 'v1');
  fleet.kill(['a2']);
  assert.equal(await takeUpAt('a1', before), STREAMS);
  assert.equal(await takeUpAt('a3', during), STREAMS);
});

test('streams of the only version go on after their daemon died soon after the store was away for all', async () => {
  await startAtV1(ONE_ZONE);
  for (const { link } of fleet.daemons.values()) link.set('refuses');
  await fleet.pass(LONG_CUT_MS);
  const during = await beginAt(['a2'], 'v1');
  for (const { link } of fleet.daemons.values()) link.set('open');
  await fleet.pass(SHORT_CUT_MS);
  const after = await beginAt(['a2'], 'v1');
  fleet.kill(['a2']);
  assert.equal(await takeUpAt('a1', during), STREAMS);
  assert.equal(await takeUpAt('a3', after), STREAMS);
});
