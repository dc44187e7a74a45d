/** Turns of a daemon's watches while the store answers none of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WatchRetryQueue } from '../../src/shell/gateway/watch-retry-queue.js';
import { ManualTimers } from './support/manual-timers.js';

const TURN = { waitMs: 100, callMs: 1_000 };

function watches() {
  const timers = new ManualTimers();
  const turns = new WatchRetryQueue(timers);
  const gone: string[] = [];
  const stopped = new AbortController();
  const wait = (name: string, signal = stopped.signal) =>
    turns.waitForTurn(TURN, signal).then(() => gone.push(name));
  const pass = async (spanMs: number) => {
    timers.advance(spanMs);
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { turns, gone, stopped, wait, pass };
}

test('watches that fail call in turn, the next one a wait after the last has failed', async () => {
  const { gone, wait, pass } = watches();
  void wait('a');
  void wait('b');
  await pass(100);
  assert.deepEqual(gone, ['a']);
  await pass(500);
  assert.deepEqual(gone, ['a'], 'while the call of the first is under way');
  void wait('a');
  await pass(100);
  assert.deepEqual(gone, ['a', 'b']);
});

test('one answer sends all on at once', async () => {
  const { turns, gone, wait, pass } = watches();
  void wait('a');
  void wait('b');
  void wait('c');
  await pass(100);
  turns.recordStoreAnswer();
  await pass(0);
  assert.deepEqual(gone, ['a', 'b', 'c']);
});

test('a watch that has its turn and makes no call holds nobody up for longer than a call takes', async () => {
  const { gone, wait, pass } = watches();
  void wait('a');
  void wait('b');
  await pass(100);
  await pass(TURN.callMs + TURN.waitMs);
  assert.deepEqual(gone, ['a', 'b']);
});

test('a watch that need not wait any more leaves its place to the next', async () => {
  const { gone, wait, pass } = watches();
  const need = new AbortController();
  void wait('a', need.signal);
  void wait('b');
  need.abort();
  await pass(0);
  assert.deepEqual(gone, ['a']);
  await pass(100);
  assert.deepEqual(gone, ['a', 'b']);
});
