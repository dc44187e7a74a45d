/** Short soaks of gateway processes with fixed seeds; longer runs with new seeds are started manually. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planOutages, planSoak } from '../../soak/plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 24, daemons: 4, engines: 6, webServers: 4, requestsPerSecond: 40 };

for (const seed of [2, 5]) {
  test(`no promise is broken under the faults of seed ${seed}`, async () => {
    const result = await runSoak(planSoak(seed, SIZE));
    assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
    assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
  });
}

test('no promise is broken by an outage of the store in a fleet with relays', async () => {
  const size = { ...SIZE, seconds: 40, daemons: 15, requestsPerSecond: 60 };
  const result = await runSoak(planOutages(4, size));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
