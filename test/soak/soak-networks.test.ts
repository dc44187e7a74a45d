/** A short soak with a fixed seed in which links hold what was sent, and daemons stand still, while servers depart. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planNetworks } from '../../soak/network-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 20, daemons: 6, engines: 6, webServers: 4, requestsPerSecond: 50 };

test('no promise is broken as links hold requests and daemons stand still while servers depart', async () => {
  const result = await runSoak(planNetworks(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
