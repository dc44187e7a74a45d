/** A short soak with a fixed seed around the starts and stops of daemons: signals, taken ports and spoiled settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSoak } from '../../soak/run.js';
import { planStarts } from '../../soak/start-plan.js';

const SIZE = { seconds: 24, daemons: 6, engines: 6, webServers: 4, requestsPerSecond: 60 };

// Guards against daemons that end at an early SIGHUP, a taken port or spoiled settings, and stops that a second signal cuts short.
test('no daemon ends by itself, and no stop cuts requests, by signals, ports and settings at starts', async () => {
  const result = await runSoak(planStarts(17, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});
