import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { MUTATIONS } from '../../src/lab/model/catalogue.js';
import { exploreGraph } from '../../src/lab/model/graph-explorer.js';

const REQUIRED = [
  'no-fence',
  'no-margin',
  'no-barrier',
  'resend-without-read-back',
  'version-compare-dropped',
  'claim-skipped',
  'offset-check-dropped',
  'not-run-after-dispatch',
  'leave-ignored',
  'stop-without-drain',
];

for (const mutation of MUTATIONS) {
  test(`mutation ${mutation.name} violates the property: ${mutation.property}`, () => {
    const limits = { maxStates: 100_000, stopAt: mutation.property };
    const { violations } = mutation.check(exploreGraph, limits, () => performance.now() / 1_000);
    const found = violations.find(({ property }) => property === mutation.property);
    assert.ok(found, `no violation found of: ${mutation.property}`);
    assert.ok(found.trace.length > 0);
  });
}

test('there is a mutation for every required protection', () => {
  assert.deepEqual([...new Set(MUTATIONS.map(({ name }) => name))].sort(), [...REQUIRED].sort());
});
