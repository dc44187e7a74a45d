/** What engines are believed to keep. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefixCacheIndex } from '../../src/core/gateway/index.js';

const SHARED = { id: 'shared', tokens: 9_000 };
const OWN = { id: 'own', tokens: 500 };
const PARTS = [SHARED, OWN];

test('a read that was begun counts at its engine at once, for others when it is done', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_000), 9_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_100), 0);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_150), 9_000);
});

test('a read that nobody confirms is forgotten soon', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 6_000), 0);
});

test("an engine's own word is not replaced by an expectation", () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirm('e', SHARED.id, SHARED.tokens);
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_000), 9_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_000_000), 9_000);
});

test('a read that is done replaces its expectation, and news that it is given up end it', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 5_000 }, 1_000);
  prefixIndex.assume('e', [SHARED], 1_200);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_200), 9_000);
  prefixIndex.confirm('e', SHARED.id, 0);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_200), 0);
});

test('what another daemon passed on is believed for a time', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirmFromPeer('e', SHARED.id, SHARED.tokens, 1_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 30_000), 9_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 70_000), 0);
});
