/** Whether cache news is passed on, by what it saves whoever is told. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewsWorth, PrefixKnowledge } from '../../src/core/gateway/index.js';

const SPAN_MS = 4_000;

/** So many entries a second over some spans, each of which saves so much on the mean. */
function told(entriesEachSecond: number, savedMsEach: number, spans = 3): NewsWorth {
  const worth = new NewsWorth();
  for (let nowMs = 1_000; nowMs <= spans * SPAN_MS + 1_000; nowMs += 1_000) {
    worth.noteSaved(entriesEachSecond * savedMsEach);
    worth.noteEntries(entriesEachSecond, nowMs);
  }
  return worth;
}

function passedOnOf(worth: NewsWorth, times: number): number {
  return Array.from({ length: times }, () => worth.mayPassOn()).filter(Boolean).length;
}

test('news that plans rely on is passed on each time', () => {
  assert.equal(passedOnOf(told(100, 0.5), 50), 50);
});

test('news that hardly ever comes to use is passed on now and then, so that it can still be measured', () => {
  assert.equal(passedOnOf(told(1_000, 0.01), 50), 5);
});

test('a few entries say nothing of what news is worth', () => {
  assert.equal(passedOnOf(told(1, 0), 50), 50);
});

test('what news is worth is found out again when the work shifts', () => {
  const worth = told(1_000, 0.01);
  for (let nowMs = 30_000; nowMs <= 80_000; nowMs += 1_000) {
    worth.noteSaved(100);
    worth.noteEntries(100, nowMs);
  }
  assert.equal(passedOnOf(worth, 10), 10);
});

test('only what others passed on counts as known from news', () => {
  const knowledge = new PrefixKnowledge();
  const parts = [
    { id: 'first', tokens: 2_000 },
    { id: 'second', tokens: 3_000 },
    { id: 'own', tokens: 500 },
  ];
  knowledge.confirm('e', 'first', 2_000);
  knowledge.confirmFromPeer('e', 'second', 3_000, 0);
  assert.equal(knowledge.keptTokens('e', parts, 0), 5_000);
  assert.equal(knowledge.passedOnTokens('e', parts, 0), 3_000);
  knowledge.assume('e', parts, 0);
  assert.equal(knowledge.passedOnTokens('e', parts, 0), 0);
});
