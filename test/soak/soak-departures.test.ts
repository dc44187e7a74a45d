/** A short soak with a fixed seed in which servers drain or go without a drain, in a fleet with relays, some of them frozen. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planDepartures } from '../../soak/departure-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 24, daemons: 15, engines: 9, webServers: 4, requestsPerSecond: 75 };

test('no promise is broken as servers drain and go without a drain, in a fleet with relays', async () => {
  const result = await runSoak(planDepartures(3, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
