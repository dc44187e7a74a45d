/** A short soak with a fixed seed in which most new connections go to one daemon, and each request opens one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSoak } from '../../soak/run.js';
import { planSkews } from '../../soak/skew-plan.js';

const SIZE = { seconds: 24, daemons: 6, engines: 9, webServers: 4, requestsPerSecond: 100 };

test('requests are served as before while most new connections go to one daemon', async () => {
  const result = await runSoak(planSkews(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
