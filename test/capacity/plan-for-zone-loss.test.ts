/** How many servers of each kind a zone is to have so that the loss of a zone's spot servers is borne. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  planForZoneLoss,
  type ZoneLossPlanInput,
  type ZoneSupply,
} from '../../src/core/capacity/index.js';

const NAMES = ['a', 'b', 'c'];
const LIMITS = {
  min: 1,
  max: 25,
  bootMs: 4_000,
  spotPrice: 0.18,
  zonePrices: new Map([
    ['a', 1],
    ['b', 0.8],
    ['c', 1.25],
  ]),
};

function zone(name: string, plain: number, spot: number, hasSpot = true): ZoneSupply {
  return { zone: name, plain, spot, coming: 0, hasSpot };
}

function plan(fields: Partial<ZoneLossPlanInput> & Pick<ZoneLossPlanInput, 'zones'>) {
  return planForZoneLoss({ limits: LIMITS, initialPerZone: 14, neededTotal: 20, ...fields });
}

const SETTLED = [zone('a', 1, 13), zone('b', 1, 14), zone('c', 0, 13)];

test('as many as were given, two of them plain in the cheapest zones', () => {
  const { targets, wantedTotal } = plan({ zones: SETTLED });
  assert.equal(wantedTotal, 42);
  assert.deepEqual(targets, [
    { zone: 'a', plain: 1, spot: 13 },
    { zone: 'b', plain: 1, spot: 14 },
    { zone: 'c', plain: 0, spot: 13 },
  ]);
});

test('whichever zone is lost, the others have what the work needs, as far as that is followed', () => {
  for (let neededTotal = 1; neededTotal <= 42; neededTotal += 1) {
    const { targets } = plan({ zones: SETTLED, neededTotal });
    const total = targets.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
    const most = Math.max(...targets.map(({ spot }) => spot));
    assert.ok(total - most >= neededTotal, `${total} less ${most} for ${neededTotal}`);
  }
});

test('where spot servers with a zone to spare cost as much as plain ones, the need is plain', () => {
  const limits = { ...LIMITS, spotPrice: 0.7 };
  const { targets } = plan({ limits, zones: SETTLED });
  assert.equal(
    targets.reduce((sum, { plain }) => sum + plain, 0),
    20,
  );
});

test('in a single zone no spot server bears the loss of others: the need is plain', () => {
  const { targets } = plan({ zones: [zone('a', 14, 0)], neededTotal: 6 });
  assert.deepEqual(targets, [{ zone: 'a', plain: 14, spot: 8 }]);
});

test('whatever there is, a zone is never to have more than its limit, nor less than the least', () => {
  const count = fc.integer({ min: 0, max: 30 });
  const supply = fc.tuple(count, count, fc.boolean());
  fc.assert(
    fc.property(
      fc.array(supply, { minLength: 1, maxLength: 3 }),
      count,
      fc.integer({ min: 0, max: 200 }),
      fc.double({ min: 0.05, max: 0.99, noNaN: true }),
      (supplies, initialPerZone, neededTotal, spotPrice) => {
        const zones = supplies.map(([plain, spot, hasSpot], index) =>
          zone(NAMES[index] ?? '', plain, spot, hasSpot),
        );
        const limits = { ...LIMITS, spotPrice };
        for (const { plain, spot } of plan({ limits, zones, initialPerZone, neededTotal })
          .targets) {
          assert.ok(plain >= 0 && spot >= 0);
          assert.ok(plain + spot <= LIMITS.max, `${plain} and ${spot}`);
          assert.ok(plain + spot >= LIMITS.min, `${plain} and ${spot}`);
        }
      },
    ),
    { seed: 27, numRuns: 2_000 },
  );
});
