/** All daemons of a fleet refuse a request under which servers crashed, whatever else fails meanwhile. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CONTACT_MS, CrashGuardFleet, requestOf } from './support/crash-guard-fleet.js';

const BODY = 'ends whoever runs it';
const START_MS = 100;

function randomFrom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

async function startFleet(daemons: number, lossRate = 0): Promise<CrashGuardFleet> {
  const fleet = new CrashGuardFleet({ daemons, lossRate, random: randomFrom(34) });
  await fleet.advance(START_MS);
  return fleet;
}

/** Three servers crash, each observed by another daemon. */
async function crashThrice(fleet: CrashGuardFleet, observers: readonly number[]): Promise<void> {
  for (const [index, daemon] of observers.entries()) {
    await fleet.crash(daemon, BODY, `i-${index}`);
    await fleet.advance(20);
  }
}

test('a server that crashes, restarts and crashes again counts as two crashes', async () => {
  const fleet = await startFleet(3);
  await fleet.crash(0, BODY, 'i-0', 1_000);
  await fleet.crash(0, BODY, 'i-0', 1_000);
  await fleet.advance(CONTACT_MS);
  assert.equal(fleet.daemonsThatSend(BODY).length, 3, 'a boot counts only once');
  await fleet.crash(1, BODY, 'i-0', 2_000);
  await fleet.advance(CONTACT_MS);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('the crash of a server that restarts at once is counted when its next boot is listed', async () => {
  const fleet = await startFleet(1);
  fleet.endedServersAccept = true;
  for (const bornMs of [1_000, 2_000]) {
    await fleet.crash(0, BODY, 'i-0', bornMs);
    await fleet.advance(50);
  }
  assert.deepEqual(fleet.daemonsThatSend(BODY), [0], 'no later boot is listed yet');
  fleet.guard(0).recordServerStart({ ...fleet.serverOf('i-0', 3_000), id: 'i-1' });
  assert.deepEqual(fleet.daemonsThatSend(BODY), [0], 'only another server has started');
  fleet.guard(0).recordServerStart(fleet.serverOf('i-0', 3_000));
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

for (const [daemons, lossRate] of [
  [9, 0],
  [9, 0.3],
  [195, 0.1],
  [340, 0.1],
] as const) {
  test(`${daemons} daemons refuse a request in time after three of them observed a crash each, with ${lossRate * 100}% of datagrams lost`, async () => {
    const fleet = await startFleet(daemons, lossRate);
    await crashThrice(fleet, [0, 3, 7]);
    await fleet.advance(CONTACT_MS - 20);
    assert.deepEqual(fleet.daemonsThatSend(BODY), []);
    assert.equal(fleet.daemonsThatSend('other work').length, daemons);
    fleet.stop();
  });
}

test('in a large fleet the crashing request is advertised although five others broke off at the same daemon', async () => {
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
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('without datagram loss all daemons refuse within 10 ms of the second crash', async () => {
  const fleet = await startFleet(9);
  await fleet.crash(0, BODY, 'i-1');
  await fleet.advance(10);
  assert.equal(fleet.daemonsThatSend(BODY).length, 9);
  await fleet.crash(1, BODY, 'i-2');
  await fleet.advance(10);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('after all daemons were killed, they read quarantines from the store before they send', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  await fleet.advance(100);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  assert.equal(fleet.daemonsThatSend('other work').length, 9);
  fleet.stop();
});

test('a large fleet that starts with quarantined requests does not broadcast them', async () => {
  const fleet = await startFleet(195);
  await crashThrice(fleet, [0, 1, 2]);
  await fleet.advance(100);
  const { datagrams } = fleet;
  for (let daemon = 0; daemon < 195; daemon += 1) fleet.start(daemon);
  await fleet.advance(400);
  assert.equal(fleet.datagrams - datagrams, 0);
  await fleet.advance(CONTACT_MS);
  assert.ok(fleet.datagrams - datagrams <= 195 * 7, `${fleet.datagrams - datagrams} datagrams`);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('the quarantine found by a daemon that cannot reach the store is written by another', async () => {
  const fleet = await startFleet(9);
  fleet.isStoreUnavailable = (daemon) => daemon === 4;
  await fleet.crash(4, BODY, 'i-1');
  await fleet.advance(20);
  await fleet.crash(4, BODY, 'i-2');
  await fleet.advance(9_000);
  fleet.isStoreUnavailable = () => false;
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('while the store is unavailable, daemons advertise a quarantine to each other, and write its row once the store is back', async () => {
  const fleet = await startFleet(9);
  fleet.isStoreUnavailable = () => true;
  await crashThrice(fleet, [0, 1, 2]);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  await fleet.advance(5_000);
  fleet.isStoreUnavailable = () => false;
  await fleet.advance(1_000);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('a daemon that was partitioned refuses by the time it counts as in contact again', async () => {
  for (const daemons of [9, 195]) {
    const fleet = await startFleet(daemons);
    fleet.isPartitioned = (daemon) => daemon === 5;
    await crashThrice(fleet, [0, 1, 2]);
    await fleet.advance(60_000);
    assert.deepEqual(fleet.daemonsThatSend(BODY), [5]);
    fleet.isPartitioned = () => false;
    await fleet.advance(CONTACT_MS);
    assert.deepEqual(fleet.daemonsThatSend(BODY), []);
    fleet.stop();
  }
});

test('a daemon that cannot reach the store from its start serves after the contact time, and refuses what its peers advertise', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  fleet.isStoreUnavailable = (daemon) => daemon === 3;
  fleet.start(3);
  await fleet.advance(CONTACT_MS - 200);
  assert.ok(!fleet.guard(3).isReadyToServe);
  await fleet.advance(400);
  assert.ok(fleet.guard(3).isReadyToServe);
  fleet.isStoreUnavailable = () => false;
  await fleet.advance(1_000);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('a batch of 32 that breaks off with its server takes few datagrams and no writes, neither then nor when it completes', async () => {
  const fleet = await startFleet(195);
  const { writes } = fleet.store;
  await Promise.all(
    Array.from({ length: 32 }, (_, index) => fleet.crash(index % 16, `work ${index}`, 'i-1')),
  );
  assert.equal(fleet.store.writes, writes);
  assert.ok(fleet.datagrams <= 16 * 194, `${fleet.datagrams} datagrams`);
  assert.equal(fleet.daemonsThatSend('work 7').length, 195);
  for (let index = 0; index < 32; index += 1) {
    fleet.guard(index).recordCompleteRun(requestOf(`work ${index}`));
  }
  await fleet.advance(1_000);
  assert.equal(fleet.store.writes, writes);
  fleet.stop();
});

test('a complete run clears a request at all daemons and in the store', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 1, 2]);
  await fleet.advance(100);
  fleet.guard(6).recordCompleteRun(requestOf(BODY));
  await fleet.advance(100);
  assert.equal(fleet.daemonsThatSend(BODY).length, 9);
  for (let daemon = 0; daemon < 9; daemon += 1) fleet.start(daemon);
  await fleet.advance(100);
  assert.equal(fleet.daemonsThatSend(BODY).length, 9);
  fleet.stop();
});

for (const afterMs of [100, 600, 1_100]) {
  test(`rows that an operator lifts ${afterMs} ms after they were written stay lifted`, async () => {
    // Guards against daemons that overwrite the operator's lift when they write the row in their turn.
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
    for (const body of bodies) assert.equal(fleet.daemonsThatSend(body).length, 9, body);
    fleet.stop();
  });
}

/** Time for all daemons to check the rows, write them and receive the changes. */
const RESTORE_MS = 3_000;

async function restoreFleet(
  fleet: CrashGuardFleet,
  daemons: number,
  restore: () => void,
): Promise<void> {
  restore();
  for (let daemon = 0; daemon < daemons; daemon += 1) fleet.guard(daemon).handleStoreRestored();
  await fleet.advance(RESTORE_MS);
}

function rowsOf(fleet: CrashGuardFleet): readonly string[] {
  return fleet.store.rows.map(({ key }) => key).filter((key) => key !== 'crash/!key');
}

// Rows written after the copy were lost permanently: a daemon that started then sent what all others refused.
test('a quarantine is written again after the store was restored from a copy that lacks it', async () => {
  const fleet = await startFleet(9);
  const restore = fleet.store.copy();
  await crashThrice(fleet, [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  await restoreFleet(fleet, 9, restore);
  assert.equal(rowsOf(fleet).length, 1);
  fleet.isPartitioned = (daemon) => daemon === 3;
  fleet.start(3);
  await fleet.advance(START_MS);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});

test('a quarantine that was lifted after the copy stays lifted when the store is restored', async () => {
  const fleet = await startFleet(9);
  await crashThrice(fleet, [0, 4, 8]);
  await fleet.advance(CONTACT_MS);
  const restore = fleet.store.copy();
  fleet.guard(2).recordCompleteRun(requestOf(BODY));
  await fleet.advance(CONTACT_MS);
  await restoreFleet(fleet, 9, restore);
  assert.deepEqual(rowsOf(fleet), []);
  assert.equal(fleet.daemonsThatSend(BODY).length, 9);
  fleet.stop();
});

// The fingerprint key was lost with the restore: a daemon that started then created another one, and its fingerprints
// matched those of no other daemon.
test('a fingerprint key that the copy lacks is written again, and all daemons use the same key', async () => {
  const fleet = await startFleet(9);
  const key = fleet.store.rows.find((row) => row.key === 'crash/!key')?.value;
  fleet.store.put('crash/!key', null);
  const restore = fleet.store.copy();
  fleet.store.put('crash/!key', key);
  await restoreFleet(fleet, 9, restore);
  assert.deepEqual(fleet.store.rows.find((row) => row.key === 'crash/!key')?.value, key);
  // All daemons adopt a key that was created by a daemon which started meanwhile.
  fleet.store.put('crash/!key', { key: Buffer.alloc(32, 7).toString('base64') });
  await restoreFleet(fleet, 9, fleet.store.copy());
  fleet.start(3);
  await fleet.advance(START_MS);
  await crashThrice(fleet, [0, 3, 8]);
  await fleet.advance(CONTACT_MS);
  assert.deepEqual(fleet.daemonsThatSend(BODY), []);
  fleet.stop();
});
