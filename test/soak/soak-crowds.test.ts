/** A short soak with a fixed seed under crowds of callers that do not behave and servers whose answers do not end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCrowds } from '../../soak/crowd-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 24, daemons: 6, engines: 6, webServers: 4, requestsPerSecond: 50 };

// Guards against processes that end, or take more memory than their machine has, by what crowds send and servers answer.
test('no promise is broken, and no daemon ends by itself, under crowds and answers without end', async () => {
  const result = await runSoak(planCrowds(1, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
  assert.ok(result.crowds.opened > 0, 'no crowd came');
  assert.ok(result.peakResidentBytes > 0, 'the memory of the processes was not looked at');
});
