/** The index of prompt parts that engines are believed to have cached. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefixCacheIndex } from '../../src/core/gateway/index.js';

const SHARED = { id: 'shared', tokens: 9_000 };
const OWN = { id: 'own', tokens: 500 };
const PARTS = [SHARED, OWN];

test('an announced read counts as cached at its engine at once, and as transferable when it is expected to be done', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_000), 9_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_100), 0);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_150), 9_000);
});

test('the entry of an announced read expires unless the read is confirmed', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 6_000), 0);
});

test("an engine's own report is not replaced by an announced read", () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirm('e', SHARED.id, SHARED.tokens);
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 150 }, 1_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_000), 9_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_000_000), 9_000);
});

test('a finished read replaces its announcement, and the report of an eviction removes the entry', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.expectRead({ engineId: 'e', part: SHARED, readyInMs: 5_000 }, 1_000);
  prefixIndex.assume('e', [SHARED], 1_200);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 1_200), 9_000);
  prefixIndex.confirm('e', SHARED.id, 0);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 1_200), 0);
});

test('a cache event relayed by another daemon expires', () => {
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirmFromPeer('e', SHARED.id, SHARED.tokens, 1_000);
  assert.equal(prefixIndex.transferableTokens('e', PARTS, 30_000), 9_000);
  assert.equal(prefixIndex.cachedTokens('e', PARTS, 70_000), 0);
});

// Guards against an index that fills the heap where a fleet has many engines.
test('the entries of all engines are bounded, and each engine keeps its newest ones', () => {
  const engines = 200;
  const partsOfEngine = 4_000;
  const prefixIndex = new PrefixCacheIndex();
  for (let engine = 0; engine < engines; engine += 1) {
    for (let part = 0; part < partsOfEngine; part += 1) {
      prefixIndex.confirm(`e-${engine}`, `${engine}-${part}`, 100);
    }
  }
  assert.ok(prefixIndex.size <= 131_072, `${prefixIndex.size} entries`);
  for (let engine = 0; engine < engines; engine += 1) {
    const newest = { id: `${engine}-${partsOfEngine - 1}`, tokens: 100 };
    assert.equal(prefixIndex.cachedTokens(`e-${engine}`, [newest], 0), 100);
  }
});

test('entries that engines have left, and evicted ones, make room', () => {
  const prefixIndex = new PrefixCacheIndex();
  for (const part of ['a', 'b', 'c']) prefixIndex.confirm('e', part, 100);
  prefixIndex.confirm('e', 'b', 0);
  prefixIndex.confirm('e', 'b', 0);
  assert.equal(prefixIndex.size, 2);
  prefixIndex.confirm('f', 'a', 100);
  prefixIndex.forget('e');
  prefixIndex.forget('e');
  assert.equal(prefixIndex.size, 1);
});
