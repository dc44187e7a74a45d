/** A short soak with a fixed seed in which servers spoil answers and the list of servers has entries that cannot be called. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planGarble } from '../../soak/garble-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 20, daemons: 5, engines: 8, webServers: 4, requestsPerSecond: 50 };

// Guards against bytes of a server or an entry that end a daemon or reach a caller.
test('no promise is broken by wrong bytes of servers and entries', async () => {
  const result = await runSoak(planGarble(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
