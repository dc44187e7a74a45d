/**
 * With 63 engines under load more changed in each 60 ms than a relay may send. What was not sent counted as told, and
 * sums that were told as a whole lost their second part: the engines in it looked idle to all daemons of the zone, which
 * sent their work there together. Half of the prompts of a fleet's first seconds so went to a few engines.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type EngineWork,
  PeerLoads,
  ServerDirectory,
  type ServerRecord,
  SumsAdvertiser,
  shortIdOf,
} from '../../src/core/gateway/index.js';

const ENGINES = 63;
const TICK_MS = 90;
/** As many as 4 KB a second leave for a message in this time, beside what else is told. */
const MOST_ENTRIES = 12;
const IDLE = { lateMs: 0, running: 1 };

function idAt(place: number): string {
  return `i-${(0x7f3a_0000 + place * 7919).toString(16)}`;
}

/** Each engine's work is another at each moment. */
function workAt(nowMs: number): EngineWork[] {
  return Array.from({ length: ENGINES }, (_, place) => ({
    engineId: idAt(place),
    pendingMs: 400 + ((place * 37 + nowMs) % 300),
    ...IDLE,
  }));
}

test('of more engines than there are bytes for, none looks idle while it is busy', () => {
  const sums = new SumsAdvertiser();
  const loads = new PeerLoads();
  const head = { relay: 'r', incarnation: 1, reads: [], reach: [], demand: [] };
  let sequence = 0;
  for (let nowMs = 0; nowMs <= 4_000; nowMs += TICK_MS) {
    const told = sums.next(workAt(nowMs), nowMs, MOST_ENTRIES);
    assert.ok(told.work.length <= MOST_ENTRIES);
    sequence += 1;
    loads.applySums({ ...head, ...told, sequence }, [], nowMs);
    if (nowMs < 500) continue;
    for (const { engineId } of workAt(nowMs)) {
      assert.ok(loads.waitMs(engineId, 'in-time', nowMs) > 0, `${engineId} at ${nowMs} ms`);
    }
  }
});

test('what there were no bytes for is not taken as told', () => {
  const sums = new SumsAdvertiser();
  const [first, second] = workAt(0);
  assert.ok(first !== undefined && second !== undefined);
  const told = sums.next([first, second], 0, 1).work;
  assert.equal(told.length, 1);
  const left = [first, second].filter((work) => !told.includes(work));
  assert.deepEqual(sums.next([first, second], 1, 1).work, left);
});

test('the engines of which others are most mistaken come first', () => {
  const sums = new SumsAdvertiser();
  const work = workAt(0);
  sums.next(work, 0);
  const [first, second, ...others] = work;
  assert.ok(first !== undefined && second !== undefined);
  const busier = { ...first, pendingMs: first.pendingMs + 50 };
  const busiest = { ...second, pendingMs: second.pendingMs + 900 };
  assert.deepEqual(sums.next([busier, busiest, ...others], 1, 1).work, [busiest]);
  assert.deepEqual(sums.next([busier, busiest, ...others], 1, 1).work, [busier]);
});

test('what was told long ago is told again where the whole is too much, as it may have been lost', () => {
  const sums = new SumsAdvertiser();
  const work = workAt(0).slice(0, 3);
  for (const nowMs of [0, 60, 120]) sums.next(work, nowMs, 1);
  const later = work.map((entry) => ({ ...entry, pendingMs: 0 }));
  const told = new Set<string>();
  for (let nowMs = 2_000; nowMs < 2_300; nowMs += TICK_MS) {
    for (const { engineId } of sums.next(later, nowMs, 1).work) told.add(engineId);
  }
  assert.equal(told.size, 3);
});

test('a server is found by the short id of messages, until it is gone', () => {
  const directory = new ServerDirectory();
  const servers = Array.from({ length: 820 }, (_, place) => serverOf(idAt(place)));
  directory.replaceAll(servers);
  const found = servers.filter(({ id }) => directory.idOf(shortIdOf(id)) === id);
  assert.equal(found.length, servers.length);
  assert.ok(servers.every(({ id }) => shortIdOf(id).length === 5));
  const [first] = servers;
  assert.ok(first !== undefined);
  directory.apply([], [first.id]);
  assert.equal(directory.idOf(shortIdOf(first.id)), undefined);
});

test('a short id stands for itself, so that what is not listed here is passed on as it came', () => {
  const short = shortIdOf(idAt(1));
  assert.equal(shortIdOf(short), short);
});

function serverOf(id: string): ServerRecord {
  return {
    id,
    service: 'llm',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 64,
    state: 'ready',
    isSpot: false,
    stage: 'prefill',
  };
}
