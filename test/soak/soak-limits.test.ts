/** A short soak with a fixed seed in which most engines name a limit of almost nothing while others restart and leave. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planSoak } from '../../soak/plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 30, daemons: 9, engines: 6, webServers: 4, requestsPerSecond: 72 };

test('streams go on while engines of their version serve, under the limits of seed 2005', async () => {
  const result = await runSoak(planSoak(2005, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
});
