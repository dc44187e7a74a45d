/** Which requests are sent to a web server at once and which are held. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  placeWebRequest,
  ServerHealth,
  type ServerRecord,
  type WebPlaceInput,
} from '../../src/core/gateway/index.js';

const NOW_MS = 10_000;
const PROTOTYPE = { service: 's', address: '127.0.0.1:1', zone: 'a', slots: 2, state: 'ready' };

function server(id: string): ServerRecord {
  return { ...PROTOTYPE, id, isSpot: false, stage: undefined } as ServerRecord;
}

/** Two servers of two slots, each with `othersRunning` requests of other daemons. */
function input(othersRunning: number, fields: Partial<WebPlaceInput> = {}): WebPlaceInput {
  const healths = new Map(['i-1', 'i-2'].map((id) => [id, new ServerHealth()]));
  for (const health of healths.values()) health.recordSuccess(100);
  return {
    candidates: [server('i-1'), server('i-2')],
    excludedIds: new Set(),
    nowMs: NOW_MS,
    latencyBudgetMs: 500,
    elapsedMs: 0,
    mayHaveRun: false,
    healthOf: (id) => healths.get(id) ?? new ServerHealth(),
    othersRunning: () => othersRunning,
    ...fields,
  };
}

test('a request is sent when a slot is free', () => {
  assert.deepEqual(placeWebRequest(input(1)), { kind: 'go', slackMs: 100 });
});

test('when all slots are taken a request is held until the first is expected to be free', () => {
  assert.deepEqual(placeWebRequest(input(3)), { kind: 'wait', slackMs: 100, roomInMs: 100 });
});

test('a request is held when all servers have rejected calls, and sent while one has not', () => {
  const backingOff = input(0);
  backingOff.healthOf('i-1').recordRefusal(NOW_MS);
  assert.equal(placeWebRequest(backingOff).kind, 'go');
  backingOff.healthOf('i-2').recordRefusal(NOW_MS);
  assert.deepEqual(placeWebRequest(backingOff), { kind: 'wait', slackMs: 100, roomInMs: 100 });
});

test('a request is held for at most a quarter of its slack, and not when it may have run', () => {
  const sentNow = { kind: 'go', slackMs: undefined } as const;
  assert.deepEqual(placeWebRequest(input(3, { elapsedMs: 100 })), sentNow);
  assert.deepEqual(placeWebRequest(input(3, { mayHaveRun: true })), sentNow);
  assert.deepEqual(placeWebRequest(input(3, { excludedIds: new Set(['i-1', 'i-2']) })), sentNow);
});
