/** Whether cache news is passed on, by what it saves whoever is told. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewsWorth, PrefixKnowledge } from '../../src/core/gateway/index.js';

const SPAN_MS = 10_000;

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

test('news that was held back is passed on again once the little that is told comes to use', () => {
  const worth = told(1_000, 0.01);
  assert.equal(worth.isWorth, false);
  for (let nowMs = 40_000; nowMs <= 100_000; nowMs += 1_000) {
    worth.noteSaved(5);
    worth.noteEntries(5, nowMs);
  }
  assert.equal(worth.isWorth, true);
});

test('a few entries say nothing of what news is worth', () => {
  assert.equal(passedOnOf(told(1, 0), 50), 50);
});

test('what news is worth is found out again when the work shifts', () => {
  const worth = told(1_000, 0.01);
  for (let nowMs = 40_000; nowMs <= 120_000; nowMs += 1_000) {
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
