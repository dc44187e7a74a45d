/** The order in which a daemon's watches retry while the store answers none of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WatchRetryQueue } from '../../src/shell/gateway/watch-retry-queue.js';
import { ManualTimers } from './support/manual-timers.js';

const TURN = { waitMs: 100, callMs: 1_000 };

function setUp() {
  const timers = new ManualTimers();
  const queue = new WatchRetryQueue(timers);
  const gone: string[] = [];
  const stopped = new AbortController();
  const wait = (name: string, signal = stopped.signal) =>
    queue.waitForTurn(TURN, signal).then(() => gone.push(name));
  const advanceAndSettle = async (spanMs: number) => {
    timers.advance(spanMs);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { queue, gone, stopped, wait, advanceAndSettle };
}

test('failed watches retry one at a time, each after its wait once the call before it has failed', async () => {
  const { gone, wait, advanceAndSettle } = setUp();
  void wait('a');
  void wait('b');
  await advanceAndSettle(100);
  assert.deepEqual(gone, ['a']);
  await advanceAndSettle(500);
  assert.deepEqual(gone, ['a'], 'the call of the first is still in flight');
  void wait('a');
  await advanceAndSettle(100);
  assert.deepEqual(gone, ['a', 'b']);
});

test('one answer of the store releases all watches at once', async () => {
  const { queue, gone, wait, advanceAndSettle } = setUp();
  void wait('a');
  void wait('b');
  void wait('c');
  await advanceAndSettle(100);
  queue.recordStoreAnswer();
  await advanceAndSettle(0);
  assert.deepEqual(gone, ['a', 'b', 'c']);
});

test('a watch that makes no call in its turn delays the next one by at most the time limit of a call', async () => {
  const { gone, wait, advanceAndSettle } = setUp();
  void wait('a');
  void wait('b');
  await advanceAndSettle(100);
  await advanceAndSettle(TURN.callMs + TURN.waitMs);
  assert.deepEqual(gone, ['a', 'b']);
});

test('a watch whose wait is aborted leaves its turn to the next', async () => {
  const { gone, wait, advanceAndSettle } = setUp();
  const need = new AbortController();
  void wait('a', need.signal);
  void wait('b');
  need.abort();
  await advanceAndSettle(0);
  assert.deepEqual(gone, ['a']);
  await advanceAndSettle(100);
  assert.deepEqual(gone, ['a', 'b']);
});
