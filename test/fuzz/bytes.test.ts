/** Fixed seeds of wrong bytes from servers, rows, callers and daemons; `npm run fuzz -- bytes` runs any number of others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runDecoderCampaign } from '../../fuzz/decoder-campaign.js';
import { runGatewayCampaign } from '../../fuzz/gateway-campaign.js';
import { seededRandom } from '../gateway/support/seeded-random.js';

const MESSAGES = 20_000;
const REQUESTS = 160;

for (const seed of [1, 2, 3]) {
  // Guards against a decoder that throws, or that accepts what cannot be sent on.
  test(`no decoder throws on the spoiled messages of seed ${seed}`, () => {
    assert.equal(runDecoderCampaign(seededRandom(seed), MESSAGES), undefined);
  });

  // Guards against bytes that end the process, or a request that takes others with it.
  test(`a gateway outlives the spoiled bytes of seed ${seed}`, async () => {
    const result = await runGatewayCampaign(seededRandom(seed), REQUESTS);
    assert.deepEqual(result.faults, []);
    assert.ok(result.isServing);
  });
}

// Guards against refusals that outlast the wrong bytes, as what they made engines' paces look like is never corrected.
test('a gateway whose routes have short time-outs serves again after the spoiled bytes of seed 105', async () => {
  const result = await runGatewayCampaign(seededRandom(105), 240, 600);
  assert.deepEqual(result.faults, []);
  assert.ok(result.isServing);
});
