/** Which ends of servers blame a part of prompts. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type CrashRecord,
  CrashRecords,
  partSubject,
  RecentlyBegunParts,
} from '../../src/core/gateway/index.js';

const PART = partSubject('bad');
const MINUTE_MS = 60_000;

interface End {
  readonly atMs: number;
  readonly ranMs: number;
  readonly request?: string;
}

/** The index of the end that quarantined the part; -1 if none did. */
function quarantinedBy(ends: readonly End[]): number {
  const records = new CrashRecords();
  return ends.findIndex(({ atMs, ranMs, request }, index) => {
    const crash = { serverId: `s-${index}`, ranMs, request: request ?? `request ${index}` };
    return records.recordCrash(PART, crash, atMs) === 'quarantined';
  });
}

test('the third of three ends under different requests blames their part, each run begun after the end before', () => {
  const ends = [100, 200, 300].map((atMs) => ({ atMs, ranMs: 50 }));
  assert.equal(quarantinedBy(ends), 2);
});

test('ends under one request that is sent again and again do not blame its parts', () => {
  const ends = [100, 200, 300, 400, 500, 600].map((atMs) => ({ atMs, ranMs: 50, request: 'same' }));
  assert.equal(quarantinedBy(ends), -1);
});

test('servers of a rack that end together do not blame a part of requests that ran at all of them', () => {
  const ends = Array.from({ length: 12 }, (_, index) => ({ atMs: 1_000 + 10 * index, ranMs: 400 }));
  assert.equal(quarantinedBy(ends), -1);
});

test('long runs that overlap blame their part by the time that half a second lies between the ends', () => {
  const ends = Array.from({ length: 40 }, (_, index) => ({
    atMs: 1_000 + 40 * index,
    ranMs: 3_000,
  }));
  const last = ends[quarantinedBy(ends)];
  assert.ok(last !== undefined && last.atMs <= 1_000 + 600, `${last?.atMs}`);
});

test('ends that lie many minutes apart do not add up against a part', () => {
  const ends = [0, 8 * MINUTE_MS, 16 * MINUTE_MS, 24 * MINUTE_MS].map((atMs) => ({
    atMs,
    ranMs: 50,
  }));
  assert.equal(quarantinedBy(ends), -1);
});

test('a suspicion is dropped once a server has begun to write on the part, and a quarantine is not', () => {
  const records = new CrashRecords();
  records.recordCrash(PART, { serverId: 's-1', ranMs: 5, request: 'a' }, 100);
  assert.equal(records.parts, 1);
  records.removeSuspicion(PART);
  assert.equal(records.parts, 0);
  for (const [index, request] of ['a', 'b', 'c'].entries()) {
    records.recordCrash(PART, { serverId: `s-${index}`, ranMs: 5, request }, 200 + 100 * index);
  }
  records.removeSuspicion(PART);
  assert.ok(records.isQuarantined(PART));
});

test('suspected parts are forgotten after ten minutes, quarantined ones after a day', () => {
  const records = new CrashRecords();
  records.recordCrash(PART, { serverId: 's-1', ranMs: 5, request: 'a' }, 0);
  records.removeExpired(10 * MINUTE_MS);
  assert.equal(records.parts, 0);
  const crashes = ['a', 'b', 'c'].map((request, index) => ({
    serverId: `s-${index}`,
    ageMs: 900 - 300 * index,
    ranMs: 5,
    request,
  }));
  const record: CrashRecord = {
    subject: PART,
    crashes,
    isQuarantined: false,
    clearings: 0,
    isStored: false,
    ageMs: 0,
  };
  assert.equal(records.applyRecord(record, 0), 'quarantined');
  assert.deepEqual(records.removeExpired(23 * 60 * MINUTE_MS), []);
  assert.deepEqual(records.removeExpired(24 * 60 * MINUTE_MS), [PART]);
});

test('what is quarantined is advertised with every message, however many parts are suspected', () => {
  const records = new CrashRecords();
  for (let index = 0; index < 500; index += 1) {
    records.recordCrash(partSubject(`p-${index}`), { serverId: 's-1', ranMs: 5, request: 'a' }, 0);
  }
  for (const [index, request] of ['a', 'b', 'c'].entries()) {
    records.recordCrash(PART, { serverId: `s-${index}`, ranMs: 5, request }, 100 * index);
  }
  for (let turn = 0; turn < 20; turn += 1) {
    const subjects = records.nextToAdvertise(8, 1_000).map(({ subject }) => subject);
    assert.equal(subjects.length, 8);
    assert.ok(subjects.includes(PART));
  }
});

test('of the parts that have begun, the ones that did so longest ago are forgotten first, and all after ten minutes', () => {
  const begun = new RecentlyBegunParts();
  begun.add('first', 10);
  for (let index = 0; index < 8_191; index += 1) begun.add(`part ${index}`, 20);
  assert.ok(begun.has('first', 30));
  begun.add('one more', 30);
  assert.ok(!begun.has('first', 30));
  assert.ok(begun.has('part 0', 30));
  assert.ok(!begun.has('part 0', 20 + 10 * MINUTE_MS));
});
