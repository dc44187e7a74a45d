/** A short soak with a fixed seed in which the store is restored from older copies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCopies } from '../../soak/plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 34, daemons: 4, engines: 6, webServers: 4, requestsPerSecond: 40 };

test('no promise is broken when the store is restored from older copies', async () => {
  const result = await runSoak(planCopies(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
