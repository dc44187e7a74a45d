/** A short soak with a fixed seed in which engines of several software versions serve, and callers take up streams. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planReleases } from '../../soak/release-plan.js';
import { runSoak } from '../../soak/run.js';

const SIZE = { seconds: 30, daemons: 6, engines: 6, webServers: 4, requestsPerSecond: 50 };

test('no promise is broken by rolling releases beside kills and stops of daemons', async () => {
  const result = await runSoak(planReleases(7, SIZE));
  assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  assert.ok((result.ends.get('200') ?? 0) > 0, 'no request was served');
});

// In these seeds a version keeps two servers, of which at most one generates.
for (const seed of [114, 126]) {
  test(`streams go on while two servers of their version serve, in the releases of seed ${seed}`, async () => {
    const size = { ...SIZE, seconds: 24, requestsPerSecond: 45 };
    const result = await runSoak(planReleases(seed, size));
    assert.deepEqual(result.violations, [], `logs of the daemons: ${result.directory}`);
  });
}
