/** That all daemons of a fleet refuse a request under which servers ended, whatever fails meanwhile. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CONTACT_MS, FleetOfGuards, requestOf } from './support/crash-guard-fleet.js';

const BODY = 'ends whoever runs it';
const START_MS = 100;

function randomFrom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

async function startFleet(daemons: number, lossRate = 0): Promise<FleetOfGuards> {
  const fleet = new FleetOfGuards({ daemons, lossRate, random: randomFrom(34) });
  await fleet.advance(START_MS);
  return fleet;
}

/** Three servers end, each seen by another daemon. */
async function crashThrice(fleet: FleetOfGuards, seenBy: readonly number[]): Promise<void> {
  for (const [index, daemon] of seenBy.entries()) {
    await fleet.crash(daemon, BODY, `i-${index}`);
    await fleet.advance(20);
  }
}

test('a server that ends again after it has started again has ended twice', async () => {
  const fleet = await startFleet(3);
  await fleet.crash(0, BODY, 'i-0', 1_000);
  await fleet.crash(0, BODY, 'i-0', 1_000);
  await fleet.advance(CONTACT_MS);
  assert.equal(fleet.sendersOf(BODY).length, 3, 'one life ends once');
  await fleet.crash(1, BODY, 'i-0', 2_000);
  await fleet.advance(CONTACT_MS);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('a server that starts again at once is counted when its next life is listed', async () => {
  const fleet = await startFleet(1);
  fleet.takesConnections = true;
  for (const bornMs of [1_000, 2_000]) {
    await fleet.crash(0, BODY, 'i-0', bornMs);
    await fleet.advance(50);
  }
  assert.deepEqual(fleet.sendersOf(BODY), [0], 'nothing shows that it has ended');
  fleet.guard(0).recordServerStart({ ...fleet.serverOf('i-0', 3_000), id: 'i-1' });
  assert.deepEqual(fleet.sendersOf(BODY), [0], 'another server started');
  fleet.guard(0).recordServerStart(fleet.serverOf('i-0', 3_000));
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

for (const [daemons, lossRate] of [
  [9, 0],
  [9, 0.3],
  [195, 0.1],
  [340, 0.1],
] as const) {
  test(`${daemons} daemons of which three saw a crash each refuse in time, ${lossRate * 100}% of datagrams lost`, async () => {
    const fleet = await startFleet(daemons, lossRate);
    await crashThrice(fleet, [0, 3, 7]);
    await fleet.advance(CONTACT_MS - 20);
    assert.deepEqual(fleet.sendersOf(BODY), []);
    assert.equal(fleet.sendersOf('other work').length, daemons);
    fleet.stop();
  });
}

test('in a large fleet the one request at fault is told though six ran at the same daemon', async () => {
  const fleet = await startFleet(340, 0.1);
  for (const [daemon, serverId] of [
    [0, 'i-1'],
    [0, 'i-2'],
  ] as const) {
    const beside = Array.from({ length: 5 }, (_, index) => `${serverId} work ${index}`);
    await Promise.all([...beside, BODY].map((body) => fleet.crash(daemon, body, serverId)));
    await fleet.advance(20);
  }
  await fleet.advance(CONTACT_MS - 20);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('no datagram is lost: all daemons refuse within 10 ms of the second crash', async () => {
  const fleet = await startFleet(9);
  await fleet.crash(0, BODY, 'i-1');
  await fleet.advance(10);
  assert.equal(fleet.sendersOf(BODY).length, 9);
  await fleet.crash(1, BODY, 'i-2');
  await fleet.advance(10);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('daemons that were all killed learn from the store before they send', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  await fleet.advance(100);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  assert.equal(fleet.sendersOf('other work').length, 9);
  fleet.stop();
});

test('a large fleet that starts with quarantined requests does not tell them to everyone', async () => {
  const fleet = await startFleet(195);
  await crashThrice(fleet, [0, 1, 2]);
  await fleet.advance(100);
  const { datagrams } = fleet;
  for (let daemon = 0; daemon < 195; daemon += 1) fleet.start(daemon);
  await fleet.advance(400);
  assert.equal(fleet.datagrams - datagrams, 0);
  await fleet.advance(CONTACT_MS);
  assert.ok(fleet.datagrams - datagrams <= 195 * 7, `${fleet.datagrams - datagrams} datagrams`);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('one that the store turns away has its finding written down by another', async () => {
  const fleet = await startFleet(9);
  fleet.isTurnedAway = (daemon) => daemon === 4;
  await fleet.crash(4, BODY, 'i-1');
  await fleet.advance(20);
  await fleet.crash(4, BODY, 'i-2');
  await fleet.advance(9_000);
  fleet.isTurnedAway = () => false;
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('while the store is away for all, daemons tell each other, and it has the row once it is back', async () => {
  const fleet = await startFleet(9);
  fleet.isTurnedAway = () => true;
  await crashThrice(fleet, [0, 1, 2]);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  await fleet.advance(5_000);
  fleet.isTurnedAway = () => false;
  await fleet.advance(1_000);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('one that was cut off refuses before it counts as in touch again', async () => {
  for (const daemons of [9, 195]) {
    const fleet = await startFleet(daemons);
    fleet.isCutOff = (daemon) => daemon === 5;
    await crashThrice(fleet, [0, 1, 2]);
    await fleet.advance(60_000);
    assert.deepEqual(fleet.sendersOf(BODY), [5]);
    fleet.isCutOff = () => false;
    await fleet.advance(CONTACT_MS);
    assert.deepEqual(fleet.sendersOf(BODY), []);
    fleet.stop();
  }
});

test('one that the store turns away from its start serves after a while, and refuses what the others tell', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  fleet.isTurnedAway = (daemon) => daemon === 3;
  fleet.start(3);
  await fleet.advance(CONTACT_MS - 200);
  assert.ok(!fleet.guard(3).isReadyToServe);
  await fleet.advance(400);
  assert.ok(fleet.guard(3).isReadyToServe);
  fleet.isTurnedAway = () => false;
  await fleet.advance(1_000);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('a batch of 32 that breaks off with its server is told in few datagrams, and nothing is written, then or when it runs whole', async () => {
  const fleet = await startFleet(195);
  const { writes } = fleet.store;
  await Promise.all(
    Array.from({ length: 32 }, (_, index) => fleet.crash(index % 16, `work ${index}`, 'i-1')),
  );
  assert.equal(fleet.store.writes, writes);
  assert.ok(fleet.datagrams <= 16 * 194, `${fleet.datagrams} datagrams`);
  assert.equal(fleet.sendersOf('work 7').length, 195);
  for (let index = 0; index < 32; index += 1) {
    fleet.guard(index).recordCompleteRun(requestOf(`work ${index}`));
  }
  await fleet.advance(1_000);
  assert.equal(fleet.store.writes, writes);
  fleet.stop();
});

test('a whole run clears it at all daemons and in the store', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  await fleet.advance(100);
  fleet.guard(6).recordCompleteRun(requestOf(BODY));
  await fleet.advance(100);
  assert.equal(fleet.sendersOf(BODY).length, 9);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.equal(fleet.sendersOf(BODY).length, 9);
  fleet.stop();
});

for (const afterMs of [100, 600, 1_100]) {
  test(`an operator lifts rows ${afterMs} ms after they were written, and they stay lifted`, async () => {
    // Daemons that took their turn at writing a row wrote it over the operator's word.
    const fleet = await startFleet(9);
    const bodies = Array.from({ length: 8 }, (_, index) => `work ${index}`);
    for (const body of bodies) {
      await fleet.crash(0, body, 'i-1');
      await fleet.advance(20);
      await fleet.crash(1, body, 'i-2');
    }
    await fleet.advance(afterMs);
    const rows = fleet.store.rows.filter(({ key }) => /^crash\/[0-9a-f]{32}$/.test(key));
    assert.equal(rows.length, bodies.length);
    for (const { key, value } of rows) {
      fleet.store.put(key, { ...(value as object), isLifted: true });
    }
    await fleet.advance(22_000);
    for (const body of bodies) assert.equal(fleet.sendersOf(body).length, 9, body);
    fleet.stop();
  });
}

/** All daemons have looked, written and heard of it. */
const RESTORED_MS = 3_000;

async function restoreFleet(
  fleet: FleetOfGuards,
  daemons: number,
  restore: () => void,
): Promise<void> {
  restore();
  for (let daemon = 0; daemon < daemons; daemon += 1) fleet.guard(daemon).handleStoreRestored();
  await fleet.advance(RESTORED_MS);
}

function rowsOf(fleet: FleetOfGuards): readonly string[] {
  return fleet.store.rows.map(({ key }) => key).filter((key) => key !== 'crash/!key');
}

// Rows written since the copy were gone for good: a daemon that started then sent what all others refused.
test('a quarantine that the copy lacks which the store came back from is written again', async () => {
  const fleet = await startFleet(9);
  const restore = fleet.store.copy();
  await crashThrice(fleet, [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  await restoreFleet(fleet, 9, restore);
  assert.equal(rowsOf(fleet).length, 1);
  fleet.isCutOff = (daemon) => daemon === 3;
  fleet.start(3);
  await fleet.advance(START_MS);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});

test('a quarantine that was lifted since the copy stays lifted', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  const restore = fleet.store.copy();
  fleet.guard(2).recordCompleteRun(requestOf(BODY));
  await fleet.advance(CONTACT_MS);
  await restoreFleet(fleet, 9, restore);
  assert.deepEqual(rowsOf(fleet), []);
  assert.equal(fleet.sendersOf(BODY).length, 9);
  fleet.stop();
});

// The secret was lost with the copy: a daemon that started then made another, and its fingerprints fitted nobody's.
test('a secret of fingerprints that the copy lacks is written again, and is one for all', async () => {
  const fleet = await startFleet(9);
  const key = fleet.store.rows.find((row) => row.key === 'crash/!key')?.value;
  fleet.store.put('crash/!key', null);
  const restore = fleet.store.copy();
  fleet.store.put('crash/!key', key);
  await restoreFleet(fleet, 9, restore);
  assert.deepEqual(fleet.store.rows.find((row) => row.key === 'crash/!key')?.value, key);
  // One that was made by a daemon which started meanwhile counts for all.
  fleet.store.put('crash/!key', { key: Buffer.alloc(32, 7).toString('base64') });
  await restoreFleet(fleet, 9, fleet.store.copy());
  fleet.start(3);
  await fleet.advance(START_MS);
  await crashThrice(fleet, [0, 3, 8]);
  await fleet.advance(CONTACT_MS);
  assert.deepEqual(fleet.sendersOf(BODY), []);
  fleet.stop();
});
