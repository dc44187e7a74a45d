/** A short soak with a fixed seed in which some daemons are cut off from all servers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCuts } from '../../soak/plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 36, daemons: 6, engines: 6, webServers: 4, requestsPerSecond: 50 };

test('no promise is broken when daemons are cut off from all servers', async () => {
  const result = await runSoak(planCuts(12, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
