/** `npm run bench:herding`: routing policies at report lags of 0.1, 1 and 5 s, as JSON lines. */
import {
  expectedFinish,
  leastOutstanding,
  powerOfTwo,
  random,
  roundRobin,
} from '../src/core/routing/index.js';
import { type RoutingScenario, simulateRouting } from './routing-simulation.js';

const POLICIES = [roundRobin, random, leastOutstanding, powerOfTwo, expectedFinish];
const SEEDS = [1, 2, 3, 4, 5];

const BASE: Omit<RoutingScenario, 'seed' | 'createPolicy' | 'reportLagMs'> = {
  daemons: 8,
  engines: 16,
  zones: 4,
  mixedGenerations: true,
  requestsPerSecond: 90,
  promptTokens: 1_500,
  outputTokens: 120,
  sharedPrefixes: 0,
  durationMs: 60_000,
  correctsByOwnSends: true,
};

for (const reportLagMs of [100, 1_000, 5_000]) {
  for (const createPolicy of POLICIES) {
    const runs = SEEDS.map((seed) => simulateRouting({ ...BASE, seed, reportLagMs, createPolicy }));
    const policy = createPolicy().name;
    const means = runs.map((run) => run.meanMs);
    console.log(JSON.stringify({ policy, reportLagMs, means, middle: runs[2] }));
  }
}
