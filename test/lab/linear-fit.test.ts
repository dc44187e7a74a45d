/** The linear regression behind the figures of the capacity page. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine } from '../../src/lab/hollow/linear-fit.js';

test('points on a line give its slope and intercept, with rSquared 1', () => {
  const points = [1, 2, 5].map((x) => ({ x, y: 3 * x + 4 }));
  const fit = fitLine(points);
  assert.ok(fit !== null);
  assert.ok(Math.abs(fit.slope - 3) < 1e-9);
  assert.ok(Math.abs(fit.intercept - 4) < 1e-9);
  assert.ok(Math.abs((fit.rSquared ?? 0) - 1) < 1e-9);
});

test('scattered points give a lower rSquared; a single distinct x gives no fit', () => {
  const fit = fitLine([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
  ]);
  assert.ok(Math.abs((fit?.rSquared ?? 1) - 0.25) < 1e-9);
  assert.equal(
    fitLine([
      { x: 1, y: 1 },
      { x: 1, y: 2 },
    ]),
    null,
  );
});
