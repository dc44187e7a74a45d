/** Guards against messages that are taken for newer than they are, whatever the clocks and the network do. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { PeerClocks, type SendStamp } from '../../src/core/gateway/index.js';

const DAEMON = 'front-2';

function stampAt(clockMs: number, incarnation = 1): SendStamp {
  return { daemon: DAEMON, incarnation, clockMs };
}

test('a message of a daemon whose clock is not known has no known time', () => {
  const clocks = new PeerClocks();
  assert.equal(clocks.sentAfterMs(stampAt(5), 100), Number.NEGATIVE_INFINITY);
});

test('a message counts as sent no later than it was, after answers that took long, came late or were lost', () => {
  const exchange = fc.record({
    waitMs: fc.integer({ min: 0, max: 5_000 }),
    thereMs: fc.integer({ min: 0, max: 8_000 }),
    backMs: fc.integer({ min: 0, max: 8_000 }),
    isAnswered: fc.boolean(),
  });
  const play = (
    leadMs: number,
    rate: number,
    exchanges: readonly (typeof exchange extends fc.Arbitrary<infer Value> ? Value : never)[],
  ) => {
    const clocks = new PeerClocks();
    const clockAt = (nowMs: number) => nowMs * rate - leadMs;
    let nowMs = 0;
    for (const { waitMs, thereMs, backMs, isAnswered } of exchanges) {
      nowMs += waitMs;
      const readAtMs = nowMs + thereMs;
      if (isAnswered) clocks.recordAnswer(stampAt(clockAt(readAtMs)), nowMs, readAtMs + backMs);
      nowMs = readAtMs + backMs;
      const sentAtMs = nowMs;
      const sentAfterMs = clocks.sentAfterMs(stampAt(clockAt(sentAtMs)), sentAtMs + backMs);
      assert.ok(sentAfterMs <= sentAtMs + 1e-6, `${sentAfterMs} of ${sentAtMs}`);
    }
  };
  const rates = fc.constantFrom(0.9995, 1, 1.0005);
  fc.assert(
    fc.property(
      fc.integer({ min: -1e9, max: 1e9 }),
      rates,
      fc.array(exchange, { maxLength: 20 }),
      play,
    ),
    { seed: 91, numRuns: 500 },
  );
});

test('a quick answer dates messages within its round trip, and a slow one after it changes nothing', () => {
  const clocks = new PeerClocks();
  clocks.recordAnswer(stampAt(1_000), 10, 14);
  assert.equal(clocks.sentAfterMs(stampAt(1_500), 600), 510 - 0.586);
  clocks.recordAnswer(stampAt(2_000), 600, 1_014);
  assert.equal(clocks.sentAfterMs(stampAt(2_000), 1_014), 1_009);
});

test('another life of a daemon has another clock', () => {
  const clocks = new PeerClocks();
  clocks.recordAnswer(stampAt(90_000, 1), 10, 12);
  assert.equal(clocks.sentAfterMs(stampAt(5, 2), 100), Number.NEGATIVE_INFINITY);
  clocks.recordAnswer(stampAt(6, 2), 100, 102);
  assert.equal(clocks.sentAfterMs(stampAt(6, 2), 102), 100);
});

test('a daemon that was suspended is dated again by its next answer', () => {
  const clocks = new PeerClocks();
  clocks.recordAnswer(stampAt(1_000), 0, 2);
  assert.ok(clocks.sentAfterMs(stampAt(1_010), 5_010) < 20, 'too old at first');
  clocks.recordAnswer(stampAt(1_020), 5_018, 5_020);
  assert.equal(clocks.sentAfterMs(stampAt(1_020), 5_020), 5_018);
});

test('a daemon is asked at once, again after a slow answer or none, and seldom after a quick one', () => {
  const clocks = new PeerClocks();
  assert.equal(clocks.takeQuestion(stampAt(0), 0), true);
  assert.equal(clocks.takeQuestion(stampAt(300), 300), false);
  assert.equal(clocks.takeQuestion(stampAt(400), 400), true, 'no answer');
  clocks.recordAnswer(stampAt(500), 400, 700);
  assert.equal(clocks.takeQuestion(stampAt(800), 800), true, 'a slow answer');
  clocks.recordAnswer(stampAt(801), 800, 802);
  assert.equal(clocks.takeQuestion(stampAt(5_000), 5_000), false, 'a quick answer');
  assert.equal(clocks.takeQuestion(stampAt(10_800), 10_800), true, 'clocks drift');
  assert.equal(clocks.takeQuestion(stampAt(3, 2), 10_801), true, 'another life');
});
