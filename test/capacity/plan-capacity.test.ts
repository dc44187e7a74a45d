/** How many servers of each kind a zone is to have. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type CapacityInput,
  planCapacity,
  type ZoneCapacity,
} from '../../src/core/capacity/index.js';

const LIMITS = {
  min: 1,
  max: 25,
  bootMs: 4_000,
  spotPrice: 0.22,
  zonePrices: new Map([
    ['a', 1],
    ['b', 0.8],
  ]),
};

function zones(...counts: readonly (readonly [plain: number, spot: number])[]): ZoneCapacity[] {
  return counts.map(([plain, spot], index) => ({ zone: index === 0 ? 'a' : 'b', plain, spot }));
}

function plan(fields: Partial<CapacityInput> & Pick<CapacityInput, 'zones'>) {
  return planCapacity({ limits: LIMITS, wantedPerZone: 12, neededTotal: 0, ...fields });
}

test('spot servers are ordered beside the plain ones, which stay until those have come', () => {
  assert.deepEqual(plan({ zones: zones([12, 0], [12, 0]) }), zones([12, 11], [12, 11]));
  assert.deepEqual(plan({ zones: zones([12, 4], [12, 11]) }), zones([8, 11], [1, 11]));
});

test('spot servers that are taken away are asked for again, and not replaced while the rest will do', () => {
  const after = zones([1, 0], [1, 11]);
  assert.deepEqual(plan({ zones: after, neededTotal: 10 }), zones([1, 11], [1, 11]));
});

test('they are replaced by plain ones where the rest will not do', () => {
  const after = zones([1, 0], [1, 11]);
  assert.deepEqual(plan({ zones: after, neededTotal: 20 }), zones([12, 11], [1, 11]));
});

test('where spot servers cost no less none are ordered', () => {
  const limits = { ...LIMITS, spotPrice: 1 };
  assert.deepEqual(plan({ limits, zones: zones([10, 0], [12, 0]) }), zones([12, 0], [12, 0]));
});

test('whatever there is, a zone is never to have more than its limit, nor less than the least', () => {
  const count = fc.integer({ min: 0, max: 30 });
  const zone = fc.tuple(count, count);
  fc.assert(
    fc.property(
      fc.array(zone, { minLength: 2, maxLength: 2 }),
      count,
      count,
      (counts, wanted, needed) => {
        const now = zones(...counts);
        const targets = plan({ zones: now, wantedPerZone: wanted, neededTotal: needed });
        for (const { plain, spot } of targets) {
          assert.ok(plain + spot <= LIMITS.max, `${plain} and ${spot}`);
          assert.ok(plain >= LIMITS.min);
          assert.ok(spot >= 0);
        }
      },
    ),
    { seed: 26, numRuns: 2_000 },
  );
});
