/** Short soaks with fixed seeds in which requests with one part of a prompt, no two alike, crash each server that runs them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planParts } from '../../soak/part-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 24, daemons: 6, engines: 7, webServers: 4, requestsPerSecond: 60 };
const LONGER = { ...SIZE, seconds: 26 };

test('no promise is broken while a part of prompts crashes servers', async () => {
  const result = await runSoak(planParts(3, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.crashesByPart[0] ?? 0) > 0, 'no server crashed');
});

test('streams go on while a part of prompts crashes servers, in the parts of seed 6', async () => {
  const result = await runSoak(planParts(6, LONGER));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
});
