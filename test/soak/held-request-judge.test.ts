/** Guards against a soak that overlooks requests which servers receive long after they were sent, or blames the network's. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { arrivalsAfterEnd, sentAfterStalls } from '../../soak/held-request-judge.js';
import type { Arrival, CallRecord, Disturbance, RunRecord } from '../../soak/record.js';
import { madeCall } from './support/made-calls.js';

const DRAIN_MS = 2_000;
const LEFT_AT_MS = 10_000;
const STALL: Disturbance = {
  scope: 'frozen',
  name: 'd1',
  fromMs: LEFT_AT_MS - 500,
  toMs: LEFT_AT_MS + 3_500,
  isPlanned: false,
};

function runOf(disturbances: readonly Disturbance[]): RunRecord {
  const bounds = { drainMs: DRAIN_MS, contactMs: 3_000 };
  const drains = [{ serverId: 's1', ackMs: LEFT_AT_MS }];
  return { disturbances, drains, bounds, cuts: [] } as unknown as RunRecord;
}

function callAt(atMs: number, fields: Partial<CallRecord> = {}): CallRecord {
  const arrival = { atMs, acceptWaitMs: 0, serverId: 's1' } as unknown as Arrival;
  return madeCall({
    daemon: 'd1',
    sentMs: atMs - 5,
    endedMs: atMs + 20,
    arrivals: [arrival],
    ...fields,
  });
}

test('requests that servers receive more than a second after their end are reported', () => {
  const late = Array.from({ length: 4 }, () => callAt(20_000, { sentMs: 17_000, endedMs: 18_900 }));
  assert.equal(arrivalsAfterEnd(late, runOf([])).length, 1);
});

test('a few requests after their end are not reported, nor are those that had ended just before', () => {
  const few = Array.from({ length: 3 }, () => callAt(20_000, { sentMs: 17_000, endedMs: 18_900 }));
  const near = Array.from({ length: 9 }, () => callAt(20_000, { sentMs: 17_000, endedMs: 19_100 }));
  assert.deepEqual(arrivalsAfterEnd([...few, ...near], runOf([])), []);
});

test('requests of a daemon that was killed meanwhile are not reported as received after their end', () => {
  const late = Array.from({ length: 9 }, () => callAt(20_000, { sentMs: 17_000, endedMs: 18_000 }));
  const killed: Disturbance = { ...STALL, scope: 'daemon', fromMs: 18_000, toMs: 18_500 };
  assert.deepEqual(arrivalsAfterEnd(late, runOf([killed])), []);
});

test('a request that a daemon sends after it stood still, to a server that departed meanwhile, is reported', () => {
  const sent = callAt(STALL.toMs + 10);
  assert.equal(sentAfterStalls([sent], runOf([STALL])).length, 1);
});

test('a request within the drain time, or of another daemon, or over a disturbed link, is not reported after a stall', () => {
  const short: Disturbance = { ...STALL, toMs: LEFT_AT_MS + 1_500 };
  assert.deepEqual(sentAfterStalls([callAt(short.toMs + 10)], runOf([short])), []);
  const atMs = STALL.toMs + 10;
  assert.deepEqual(sentAfterStalls([callAt(atMs, { daemon: 'd2' })], runOf([STALL])), []);
  const held: Disturbance = { ...STALL, scope: 'server', name: 's1' };
  assert.deepEqual(sentAfterStalls([callAt(atMs)], runOf([STALL, held])), []);
});
