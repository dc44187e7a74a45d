/** Who goes to a web server now and who waits a moment. */
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

/** Two servers of two slots, with so many requests of others at each. */
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

test('it goes where a slot is free', () => {
  assert.deepEqual(placeWebRequest(input(1)), { kind: 'go', slackMs: 100 });
});

test('where all slots are taken it waits until the first is expected to be free', () => {
  assert.deepEqual(placeWebRequest(input(3)), { kind: 'wait', slackMs: 100, roomInMs: 100 });
});

test('servers that turned calls away are waited for, and one that did not is asked', () => {
  const resting = input(0);
  resting.healthOf('i-1').recordRefusal(NOW_MS);
  assert.equal(placeWebRequest(resting).kind, 'go');
  resting.healthOf('i-2').recordRefusal(NOW_MS);
  assert.deepEqual(placeWebRequest(resting), { kind: 'wait', slackMs: 100, roomInMs: 100 });
});

test('nobody is held for longer than a quarter of what it can wait, nor when it may have run', () => {
  const goes = { kind: 'go', slackMs: undefined } as const;
  assert.deepEqual(placeWebRequest(input(3, { elapsedMs: 100 })), goes);
  assert.deepEqual(placeWebRequest(input(3, { mayHaveRun: true })), goes);
  assert.deepEqual(placeWebRequest(input(3, { excludedIds: new Set(['i-1', 'i-2']) })), goes);
});
