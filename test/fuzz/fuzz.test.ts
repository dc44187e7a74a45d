/** Fixed seeds of fault schedules on simulated fleets; `npm run fuzz` runs any number of others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runCampaign } from '../../fuzz/campaign.js';

const SCHEDULES_PER_SEED = 4;

for (const seed of [11, 23]) {
  test(`fault schedules of seed ${seed} break no promise`, () => {
    const result = runCampaign({ seed, schedules: SCHEDULES_PER_SEED, timeLimitMs: null });
    assert.equal(result.failure, null, JSON.stringify(result.failure, null, 2));
    assert.equal(result.schedules, SCHEDULES_PER_SEED);
    assert.ok(
      result.requests.answered > 0,
      'no request was answered, so the schedules checked nothing',
    );
  });
}

test('equal seeds give equal schedules and outcomes', () => {
  const options = { seed: 5, schedules: 2, timeLimitMs: null };
  assert.deepEqual(runCampaign(options), runCampaign(options));
});
