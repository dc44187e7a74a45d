/** Calls that are ended after a time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { callWithin } from '../../src/shell/gateway/timer-service.js';
import { ManualTimers } from './support/manual-timers.js';

/** A call that lasts until its signal is aborted. */
function untilAborted(signal: AbortSignal): Promise<string> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve('ended before');
    signal.addEventListener('abort', () => resolve('ended'));
  });
}

test('a call is ended after its time', async () => {
  const timers = new ManualTimers();
  const result = callWithin(timers, 100, undefined, untilAborted);
  timers.advance(100);
  assert.equal(await result, 'ended');
});

test('a call is ended with the other signal, at once when that was aborted before', async () => {
  const outer = new AbortController();
  const result = callWithin(new ManualTimers(), 100, outer.signal, untilAborted);
  outer.abort();
  assert.equal(await result, 'ended');
  assert.equal(
    await callWithin(new ManualTimers(), 100, outer.signal, untilAborted),
    'ended before',
  );
});

test('a call that is over leaves no timer and no listener', async () => {
  const timers = new ManualTimers();
  const outer = new AbortController();
  let seen: AbortSignal | undefined;
  await callWithin(timers, 100, outer.signal, async (signal) => {
    seen = signal;
  });
  timers.advance(1_000);
  outer.abort();
  assert.equal(seen?.aborted, false);
});
