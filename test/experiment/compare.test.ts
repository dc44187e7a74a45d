/** Comparisons: confidence intervals, pairing by seed, and application of the policies' roles. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  compare,
  type ExperimentResult,
  estimate,
  figuresOf,
  loadScenario,
  policyNamed,
  runExperiment,
} from '../../src/lab/experiment/index.js';

const scenario = loadScenario('examples/scenarios/swing-every-3-minutes.yaml')._unsafeUnwrap();

function policy(name: string) {
  const found = policyNamed(name, scenario, 0.01);
  assert.ok(found !== null);
  return found;
}

test('a confidence interval uses the t distribution', () => {
  // Student's t with 4 degrees of freedom: 2.776; standard error sqrt(2.5 / 5).
  const { mean, low, high } = estimate([1, 2, 3, 4, 5]);
  assert.equal(mean, 3);
  assert.ok(Math.abs((high ?? 0) - (3 + 2.776 * Math.SQRT1_2)) < 1e-9);
  assert.ok(Math.abs((low ?? 0) - (3 - 2.776 * Math.SQRT1_2)) < 1e-9);
  assert.deepEqual(estimate([7]), { mean: 7, low: null, high: null });
});

test('each policy is compared with the first one per seed', () => {
  const result = runExperiment({ scenario, policy: policy('planner'), seed: 1, stretch: 0.002 });
  const withTokens = (tokens: number): ExperimentResult => ({
    ...result,
    goodput: { ...result.goodput, tokens_per_second: tokens },
  });
  const first = [withTokens(100), withTokens(200)];
  const second = [withTokens(110), withTokens(220)];
  const { ratio_to_first: ratio } = figuresOf(second, first);
  assert.ok(Math.abs(ratio.mean - 1.1) < 1e-9);
  assert.ok(Math.abs((ratio.high ?? 0) - (ratio.low ?? 1)) < 1e-9);
});

test('a fixed split has its roles from the start and changes none', () => {
  const { course, role_changes } = runExperiment({
    scenario,
    policy: policy('fixed:0p6d'),
    seed: 1,
    stretch: 0.01,
  });
  assert.equal(role_changes, 0);
  assert.deepEqual(course.at(-1)?.roles, { prefill: 0, decode: 6, mixed: 7, away: 0 });
  assert.equal(policyNamed('fixed:9p9d', scenario), null);
  assert.equal(policyNamed('none', scenario), null);
});

test('the threshold policy changes roles without cutting requests, and compare counts the changes', () => {
  const seeds = [1];
  const { policies } = compare({
    scenario,
    seeds,
    stretch: 0.05,
    policies: [policy('fixed:0p0d'), policy('threshold')],
  });
  const [fixed, threshold] = policies;
  assert.equal(fixed?.role_changes.mean, 0);
  assert.ok((threshold?.role_changes.mean ?? 0) > 0);
  assert.equal((threshold?.cut ?? 1) + (threshold?.wrong ?? 1) + (threshold?.violations ?? 1), 0);
});
