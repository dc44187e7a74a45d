import assert from 'node:assert/strict';
import { it } from 'node:test';
import { type RoutingScenario, simulateRouting } from '../../bench/routing-simulation.js';
import { expectedFinish, leastOutstanding, powerOfTwo } from '../../src/core/routing/index.js';

const SCENARIO: Omit<RoutingScenario, 'createPolicy' | 'correctsByOwnSends'> = {
  seed: 1,
  daemons: 8,
  engines: 16,
  zones: 4,
  mixedGenerations: false,
  reportLagMs: 1_000,
  requestsPerSecond: 90,
  promptTokens: 1_500,
  outputTokens: 120,
  sharedPrefixes: 0,
  durationMs: 12_000,
};

it('herds with least outstanding on stale reports, and less with power of two choices', () => {
  const run = (createPolicy: RoutingScenario['createPolicy']) =>
    simulateRouting({ ...SCENARIO, createPolicy, correctsByOwnSends: false });
  const herding = run(leastOutstanding);
  const spread = run(powerOfTwo);
  assert.ok(spread.imbalance < 0.8 * herding.imbalance, `${spread.imbalance} ${herding.imbalance}`);
  assert.ok(spread.p95Ms < herding.p95Ms);
});

it('keeps response times with expected finish stable on old reports, corrected by own requests', () => {
  const run = (reportLagMs: number, correctsByOwnSends: boolean) =>
    simulateRouting({
      ...SCENARIO,
      mixedGenerations: true,
      reportLagMs,
      createPolicy: expectedFinish,
      correctsByOwnSends,
    });
  const fresh = run(100, true);
  const stale = run(1_000, true);
  const uncorrected = run(1_000, false);
  assert.ok(stale.meanMs < 1.2 * fresh.meanMs, `${stale.meanMs} ${fresh.meanMs}`);
  assert.ok(stale.meanMs < 0.9 * uncorrected.meanMs, `${stale.meanMs} ${uncorrected.meanMs}`);
});

it('gives the same results for the same seed', () => {
  const scenario = { ...SCENARIO, createPolicy: expectedFinish, correctsByOwnSends: true };
  const short = { ...scenario, durationMs: 3_000, sharedPrefixes: 20 };
  assert.deepEqual(simulateRouting(short), simulateRouting(short));
});
