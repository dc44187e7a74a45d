/**
 * Guards against busy engines that look idle. With 63 engines under load, more work changes within 60 ms than a relay
 * may send. Once, changes that did not fit counted as advertised, and complete sums lost their second part: every
 * daemon of the zone saw the engines in it as idle and sent its work there, so that half of the prompts of a fleet's
 * first seconds went to a few engines.
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
/**
 * Number of engines for which 4 KB per second leave bytes in a message at this interval, next to its other contents.
 */
const MAX_ENTRIES = 12;
const IDLE = { lateMs: 0, running: 1 };

function idAt(place: number): string {
  return `i-${(0x7f3a_0000 + place * 7919).toString(16)}`;
}

/** Every engine's work differs at every time. */
function workAt(nowMs: number): EngineWork[] {
  return Array.from({ length: ENGINES }, (_, place) => ({
    engineId: idAt(place),
    pendingMs: 400 + ((place * 37 + nowMs) % 300),
    ...IDLE,
  }));
}

test('no busy engine looks idle when messages have bytes for fewer engines than change', () => {
  const sums = new SumsAdvertiser();
  const loads = new PeerLoads();
  const head = { relay: 'r', incarnation: 1, reads: [], reach: [], demand: [] };
  let sequence = 0;
  for (let nowMs = 0; nowMs <= 4_000; nowMs += TICK_MS) {
    const advertised = sums.next(workAt(nowMs), nowMs, MAX_ENTRIES);
    assert.ok(advertised.work.length <= MAX_ENTRIES);
    sequence += 1;
    loads.applySums({ ...head, ...advertised, sequence }, [], nowMs);
    if (nowMs < 500) continue;
    for (const { engineId } of workAt(nowMs)) {
      assert.ok(loads.waitMs(engineId, 'in-time', nowMs) > 0, `${engineId} at ${nowMs} ms`);
    }
  }
});

test('work that did not fit into a message does not count as advertised', () => {
  const sums = new SumsAdvertiser();
  const [first, second] = workAt(0);
  assert.ok(first !== undefined && second !== undefined);
  const advertised = sums.next([first, second], 0, 1).work;
  assert.equal(advertised.length, 1);
  const left = [first, second].filter((work) => !advertised.includes(work));
  assert.deepEqual(sums.next([first, second], 1, 1).work, left);
});

test('engines whose advertised work is most outdated come first', () => {
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

test('entries advertised long ago are repeated when complete sums do not fit, as messages may be lost', () => {
  const sums = new SumsAdvertiser();
  const work = workAt(0).slice(0, 3);
  for (const nowMs of [0, 60, 120]) sums.next(work, nowMs, 1);
  const later = work.map((entry) => ({ ...entry, pendingMs: 0 }));
  const advertised = new Set<string>();
  for (let nowMs = 2_000; nowMs < 2_300; nowMs += TICK_MS) {
    for (const { engineId } of sums.next(later, nowMs, 1).work) advertised.add(engineId);
  }
  assert.equal(advertised.size, 3);
});

test('a server is found by its short id until it is removed', () => {
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

test('the short id of a short id is the same, so that unlisted servers are relayed unchanged', () => {
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
