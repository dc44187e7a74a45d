/** A short soak with a fixed seed in which datagrams between daemons arrive late while servers depart, in a fleet with relays. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planDatagrams } from '../../soak/datagram-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 30, daemons: 15, engines: 9, webServers: 4, requestsPerSecond: 120 };

test('no promise is broken as datagrams between daemons arrive late while servers depart', async () => {
  const result = await runSoak(planDatagrams(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
