/** Read times are learnt from samples, whatever the speed of the engines is. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ReadSpeed } from '../../src/core/gateway/index.js';

test('before the first sample, a prompt of typical size is expected to be read within its target', () => {
  const speed = new ReadSpeed();
  speed.setInitialEstimate(9_000, 200);
  speed.setInitialEstimate(9_000, 999);
  assert.equal(speed.prefillMs(9_000), 200);
  assert.equal(speed.isLearnt, false);
  assert.equal(speed.handOverMs, 20);
});

test('any speed and overhead is learnt to within a tenth, although every fourth prompt waits in a queue', () => {
  const pace = fc.double({ min: 5, max: 900, noNaN: true });
  const overhead = fc.double({ min: 0, max: 30, noNaN: true });
  const prompts = fc.array(fc.integer({ min: 300, max: 18_000 }), {
    minLength: 120,
    maxLength: 160,
  });
  fc.assert(
    fc.property(pace, overhead, prompts, (tokensPerMs, overheadMs, lengths) => {
      const speed = new ReadSpeed();
      speed.setInitialEstimate(9_000, 200);
      lengths.forEach((tokens, index) => {
        const waitMs = index > 20 && index % 4 === 0 ? 400 : 0;
        speed.learnPrefill(tokens, overheadMs + tokens / tokensPerMs + waitMs);
      });
      const trueMs = overheadMs + 9_000 / tokensPerMs;
      const queueShare = (0.1 * 400) / 3;
      assert.ok(Math.abs(speed.prefillMs(9_000) - trueMs) <= 0.1 * trueMs + queueShare);
    }),
    { seed: 11, numRuns: 200 },
  );
});

test('a decode engine is expected to read at half the pace of a prefill engine, with its own overhead', () => {
  const speed = new ReadSpeed();
  for (let sample = 1; sample < 50; sample += 1) speed.learnPrefill(sample * 200, sample * 2);
  for (let sample = 0; sample < 50; sample += 1) speed.learnDecode(200, 11);
  assert.ok(Math.abs(speed.decodeMs(200) - 11) < 0.5);
  assert.ok(Math.abs(speed.decodeMs(10_200) - 211) < 2);
});

test('the learnt hand-over time is close to that of undisturbed hand-overs', () => {
  const speed = new ReadSpeed();
  for (let sample = 0; sample < 60; sample += 1) speed.learnHandOver(sample % 3 === 0 ? 60 : 9);
  assert.ok(speed.handOverMs >= 9 && speed.handOverMs < 16);
});

test('from prompts of equal length no overhead is derived', () => {
  const speed = new ReadSpeed();
  for (let sample = 0; sample < 30; sample += 1) speed.learnPrefill(1_000, 20);
  assert.ok(Math.abs(speed.prefillMs(1_000) - 20) < 0.01);
  assert.ok(Math.abs(speed.prefillMs(2_000) - 40) < 0.01);
});

test('the learnt time per token is that of long runs, even among many short ones', () => {
  const speed = new ReadSpeed();
  for (let round = 0; round < 40; round += 1) {
    speed.learnRun(5_000, 4_000);
    for (let short = 0; short < 8; short += 1) speed.learnRun(100, 1);
  }
  assert.ok(Math.abs(speed.tokenMs * 5_000 - 4_000) / 4_000 < 0.25);
  assert.ok(speed.runMs > 300 && speed.runMs < 600);
});
