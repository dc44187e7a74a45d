/** When the list of a fleet that has just started is taken for what was given to it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ServerListSettling } from '../../src/core/capacity/index.js';

const BOOT_MS = 4_000;

/** When the list has settled, with servers listed at these times. */
function settledAtMs(listedAtMs: readonly number[], bootMs: number): number | undefined {
  const settling = new ServerListSettling();
  for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
    const listed = listedAtMs.filter((atMs) => atMs <= nowMs).length;
    if (settling.update(listed, bootMs, nowMs)) return nowMs;
  }
  return undefined;
}

test('servers that list themselves with gaps shorter than a boot are all waited for', () => {
  assert.equal(settledAtMs([1_200, 1_800, 3_900, 3_900, 5_000], BOOT_MS), 5_000 + BOOT_MS);
});

test('where servers boot at once the list still has to stand for a while', () => {
  assert.equal(settledAtMs([100], 0), 1_600);
});

test('an empty list never settles', () => {
  assert.equal(settledAtMs([], BOOT_MS), undefined);
});
