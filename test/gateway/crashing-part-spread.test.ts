/**
 * All daemons of a fleet refuse requests with a part of a prompt under which servers crashed, whatever else fails, and none
 * refuses a part on which a server has begun to write. In virtual time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Refusal } from '../../src/shell/gateway/exchange.js';
import { CONTACT_MS, CrashGuardFleet, requestOf } from './support/crash-guard-fleet.js';

const START_MS = 100;
const CRASH_INTERVAL_MS = 40;
/** Ends that the operators allow before the contact time begins. */
const CRASHES = 5;

function randomFrom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

async function startFleet(daemons: number, lossRate = 0, seed = 70): Promise<CrashGuardFleet> {
  const fleet = new CrashGuardFleet({ daemons, lossRate, random: randomFrom(seed) });
  await fleet.advance(START_MS);
  return fleet;
}

/** The shared parts of a prompt and one that is the request's own. */
function promptOf(sharedParts: readonly string[], name: string): readonly string[] {
  return [...sharedParts, `own ${name}`];
}

let requests = 0;

/** A server ends under a request of its own; each end is seen by another daemon. */
async function crashUnder(
  fleet: CrashGuardFleet,
  sharedParts: readonly string[],
  daemons: readonly number[],
): Promise<void> {
  for (const daemon of daemons) {
    requests += 1;
    const body = `question ${requests}`;
    await fleet.crash(daemon, body, `i-${requests}`, undefined, promptOf(sharedParts, body));
    await fleet.advance(CRASH_INTERVAL_MS);
  }
}

function daemonsThatSend(fleet: CrashGuardFleet, sharedParts: readonly string[]): number {
  requests += 1;
  const body = `question ${requests}`;
  return fleet.daemonsThatSend(body, promptOf(sharedParts, body)).length;
}

/** All requests share this part. */
function beginSharedEverywhere(fleet: CrashGuardFleet, daemons: number): void {
  for (let daemon = 0; daemon < daemons; daemon += 1) begin(fleet, daemon, ['sys']);
}

function begin(fleet: CrashGuardFleet, daemon: number, sharedParts: readonly string[]): void {
  fleet.guard(daemon).recordFirstEvent(requestOf('sound', promptOf(sharedParts, 'sound')));
}

for (const [daemons, lossRate] of [
  [1, 0],
  [9, 0],
  [9, 0.3],
  [86, 0.3],
  [195, 0.3],
  [340, 0.3],
] as const) {
  test(`${daemons} daemons refuse a crashing part within the contact time of the fifth crash, each seen by another one, with ${lossRate * 100}% of datagrams lost`, async () => {
    for (const seed of [1, 2, 3]) {
      const fleet = await startFleet(daemons, lossRate, seed);
      beginSharedEverywhere(fleet, daemons);
      const observers = [0, 3, 7, 2, 5].map((daemon) => daemon % daemons);
      assert.equal(observers.length, CRASHES);
      await crashUnder(fleet, ['sys', 'bad'], observers);
      await fleet.advance(CONTACT_MS - CRASH_INTERVAL_MS);
      assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 0, `seed ${seed}`);
      assert.equal(daemonsThatSend(fleet, ['sys', 'other']), daemons, `seed ${seed}`);
      fleet.stop();
    }
  });
}

test('a part that stands in all crashes, and on which one daemon sees a server begin, is refused by none', async () => {
  for (const [daemons, lossRate] of [
    [9, 0],
    [9, 0.3],
    [195, 0.1],
  ] as const) {
    const fleet = await startFleet(daemons, lossRate);
    await crashUnder(fleet, ['rare'], [0]);
    begin(fleet, 4, ['rare']);
    await crashUnder(fleet, ['rare'], [1, 2, 3]);
    await fleet.advance(CONTACT_MS);
    assert.equal(daemonsThatSend(fleet, ['rare']), daemons);
    fleet.stop();
  }
});

test('a server that begins to write on a quarantined part ends its quarantine at all daemons and in the store', async () => {
  const fleet = await startFleet(9);
  await crashUnder(fleet, ['rare'], [0, 1, 2]);
  await fleet.advance(CONTACT_MS);
  assert.equal(daemonsThatSend(fleet, ['rare']), 0);
  begin(fleet, 6, ['rare']);
  await fleet.advance(100);
  assert.equal(daemonsThatSend(fleet, ['rare']), 9);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.equal(daemonsThatSend(fleet, ['rare']), 9);
  fleet.stop();
});

test('a caller cannot have a part refused that others use, by requests that crash servers for reasons of their own', async () => {
  const fleet = await startFleet(9);
  for (let round = 0; round < 10; round += 1) {
    begin(fleet, round % 9, ['used by others']);
    await crashUnder(fleet, ['used by others'], [round % 9]);
  }
  await fleet.advance(CONTACT_MS);
  begin(fleet, 0, ['used by others']);
  await fleet.advance(100);
  assert.equal(daemonsThatSend(fleet, ['used by others']), 9);
  fleet.stop();
});

test('four groups of three servers that end for reasons of their own blame no part of the requests that ran there', async () => {
  const fleet = await startFleet(9);
  for (let group = 0; group < 4; group += 1) {
    const parts = ['sys', `of half ${group % 2}`];
    const daemon = 2 * group;
    const ends = [0, 1, 2].map((index) => {
      const body = `work ${group} ${index}`;
      return fleet.crash(daemon + 1 - (index % 2), body, `g-${group}-${index}`, undefined, [
        ...parts,
        body,
      ]);
    });
    await Promise.all(ends);
    await fleet.advance(500);
    for (let other = 0; other < 9; other += 1)
      begin(fleet, other, ['sys', 'of half 0', 'of half 1']);
  }
  await fleet.advance(CONTACT_MS);
  assert.equal(daemonsThatSend(fleet, ['sys', 'of half 0']), 9);
  assert.equal(daemonsThatSend(fleet, ['sys', 'of half 1']), 9);
  fleet.stop();
});

test('the last part of a prompt is never blamed', async () => {
  const fleet = await startFleet(9);
  for (const daemon of [0, 1, 2, 3, 4]) {
    await fleet.crash(daemon, `body ${daemon}`, `i-l${daemon}`, undefined, ['session']);
    await fleet.advance(CRASH_INTERVAL_MS);
  }
  assert.equal(daemonsThatSend(fleet, ['session']), 9);
  fleet.stop();
});

test('a daemon that starts while the store is away refuses a crashing part after the contact time, without the key of fingerprints', async () => {
  const fleet = await startFleet(9);
  beginSharedEverywhere(fleet, 9);
  await crashUnder(fleet, ['sys', 'bad'], [0, 1, 2]);
  fleet.isStoreUnavailable = () => true;
  fleet.start(5);
  await fleet.advance(CONTACT_MS + 100);
  assert.ok(fleet.guard(5).isReadyToServe);
  assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 0);
  fleet.stop();
});

test('after all daemons were killed, they read the quarantined parts from the store before they send', async () => {
  const fleet = await startFleet(9);
  beginSharedEverywhere(fleet, 9);
  await crashUnder(fleet, ['sys', 'bad'], [0, 1, 2]);
  await fleet.advance(1_500);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 0);
  await fleet.advance(100);
  assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 0);
  assert.equal(daemonsThatSend(fleet, ['sys']), 9);
  fleet.stop();
});

test('a quarantined part is written again after the store was restored from a copy that lacks it', async () => {
  const fleet = await startFleet(9);
  const restore = fleet.store.copy();
  beginSharedEverywhere(fleet, 9);
  await crashUnder(fleet, ['sys', 'bad'], [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  restore();
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.guard(daemon).handleStoreRestored();
  await fleet.advance(CONTACT_MS);
  assert.ok(fleet.store.rows.some(({ key }) => key === 'crash/part-bad'));
  fleet.stop();
});

test('an operator lifts the quarantine of a part as that of a request', async () => {
  const fleet = await startFleet(9);
  beginSharedEverywhere(fleet, 9);
  await crashUnder(fleet, ['sys', 'bad'], [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  const row = fleet.store.rows.find(({ key }) => key === 'crash/part-bad');
  fleet.store.put('crash/part-bad', { ...(row?.value as object), isLifted: true });
  await fleet.advance(22_000);
  assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 9);
  fleet.stop();
});

test('requests that ran beside those with a crashing part are not refused once the part is known', async () => {
  const fleet = await startFleet(9);
  beginSharedEverywhere(fleet, 9);
  await fleet.crash(7, 'ends servers by itself', 'i-before-1');
  await fleet.advance(CRASH_INTERVAL_MS);
  await fleet.crash(8, 'ends servers by itself', 'i-before-2');
  await fleet.advance(1_000);
  for (const [index, daemon] of [0, 4, 8].entries()) {
    const server = `i-batch-${index}`;
    const name = `crashing ${index}`;
    await Promise.all([
      fleet.crash(daemon, name, server, undefined, promptOf(['sys', 'bad'], name)),
      fleet.crash((daemon + 1) % 9, 'popular', server, undefined, ['sys', 'popular']),
    ]);
    await fleet.advance(CRASH_INTERVAL_MS);
  }
  await fleet.advance(100);
  assert.equal(daemonsThatSend(fleet, ['sys', 'bad']), 0);
  assert.equal(fleet.daemonsThatSend('popular', ['sys', 'popular']).length, 9);
  assert.deepEqual(fleet.daemonsThatSend('ends servers by itself'), []);
  await fleet.advance(10_000);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.equal(fleet.daemonsThatSend('popular', ['sys', 'popular']).length, 9);
  assert.deepEqual(fleet.daemonsThatSend('ends servers by itself'), []);
  fleet.stop();
});

test('a request that is held or runs without an answer is withdrawn as its part is quarantined, and others are not', async () => {
  const fleet = await startFleet(9);
  const withdrawn: Refusal[] = [];
  const follow = (sharedParts: readonly string[]) => {
    const exchange = requestOf('held', promptOf(sharedParts, 'held'));
    exchange.withdraw = (refusal) => withdrawn.push(refusal);
    return fleet.guard(6).follow(exchange);
  };
  follow(['sys', 'bad']);
  follow(['sys']);
  const endOfOther = follow(['sys', 'bad']);
  endOfOther();
  beginSharedEverywhere(fleet, 9);
  await crashUnder(fleet, ['sys', 'bad'], [0, 4, 8]);
  await fleet.advance(CRASH_INTERVAL_MS);
  assert.deepEqual(
    withdrawn.map(({ details }) => details),
    [{ part: 'bad' }],
  );
  assert.match(withdrawn[0]?.reason ?? '', /part bad of this prompt.*without that part is served/);
  fleet.stop();
});

for (const daemons of [9, 86, 195]) {
  test(`suspected parts cost a fleet of ${daemons} daemons few datagrams, and steady traffic none`, async () => {
    const fleet = await startFleet(daemons);
    for (let round = 0; round < 100; round += 1)
      begin(fleet, round % daemons, ['sys', `p${round}`]);
    await fleet.advance(1_000);
    assert.equal(fleet.datagrams, 0);
    // One end breaks off requests of eight daemons, each with two parts of its own.
    await Promise.all(
      [0, 1, 2, 3, 4, 5, 6, 7].map((daemon) =>
        fleet.crash(daemon, `work ${daemon}`, 'i-1', undefined, [
          `a${daemon}`,
          `b${daemon}`,
          `own ${daemon}`,
        ]),
      ),
    );
    const recipients = Math.min(16, daemons - 1) + (daemons - 1);
    assert.ok(fleet.datagrams <= 8 * recipients, `${fleet.datagrams} datagrams`);
    fleet.stop();
  });
}
