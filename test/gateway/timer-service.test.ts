/** Calls with a time limit, and a clock that counts suspensions of the machine. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import {
  callWithTimeout,
  SYSTEM_TIMERS,
  suspensionAwareTimers,
} from '../../src/shell/gateway/timer-service.js';
import { ManualTimers } from './support/manual-timers.js';

/** A call that lasts until its signal is aborted. */
function untilAborted(signal: AbortSignal): Promise<string> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve('ended before');
    signal.addEventListener('abort', () => resolve('ended'));
  });
}

test('a call is aborted after its time limit', async () => {
  const timers = new ManualTimers();
  const result = callWithTimeout(timers, 100, undefined, untilAborted);
  timers.advance(100);
  assert.equal(await result, 'ended');
});

test('a call is aborted with the outer signal, at once if that was aborted before the call', async () => {
  const outer = new AbortController();
  const result = callWithTimeout(new ManualTimers(), 100, outer.signal, untilAborted);
  outer.abort();
  assert.equal(await result, 'ended');
  assert.equal(
    await callWithTimeout(new ManualTimers(), 100, outer.signal, untilAborted),
    'ended before',
  );
});

test('a settled call leaves no timer and no listener', async () => {
  const timers = new ManualTimers();
  const outer = new AbortController();
  let seen: AbortSignal | undefined;
  await callWithTimeout(timers, 100, outer.signal, async (signal) => {
    seen = signal;
  });
  timers.advance(1_000);
  outer.abort();
  assert.equal(seen?.aborted, false);
});

test('the suspension-aware clock counts suspensions, and also a time of day that was set ahead', () => {
  const steady = new ManualTimers();
  let aheadMs = 5_000;
  const timers = suspensionAwareTimers(steady, () => steady.nowMs() + aheadMs);
  const startedMs = timers.nowMs();
  steady.advance(100);
  assert.equal(timers.nowMs() - startedMs, 100);
  aheadMs += 4_000;
  assert.equal(timers.nowMs() - startedMs, 4_100);
  steady.advance(50);
  assert.equal(timers.nowMs() - startedMs, 4_150);
});

test('the suspension-aware clock ignores a time of day that was set back or is adjusted gradually', () => {
  const steady = new ManualTimers();
  let aheadMs = 0;
  const timers = suspensionAwareTimers(steady, () => steady.nowMs() + aheadMs);
  const startedMs = timers.nowMs();
  aheadMs -= 2_000;
  assert.equal(timers.nowMs() - startedMs, 0);
  for (let second = 0; second < 60; second += 1) {
    steady.advance(1_000);
    aheadMs += 1;
    timers.nowMs();
  }
  assert.equal(timers.nowMs() - startedMs, 60_000);
});

test('its timers run on the monotonic clock', () => {
  const steady = new ManualTimers();
  const timers = suspensionAwareTimers(steady, () => steady.nowMs());
  let isFired = false;
  timers.after(100, () => (isFired = true));
  steady.advance(99);
  assert.ok(!isFired);
  steady.advance(1);
  assert.ok(isFired);
});

// Guards against a route's time-out of 30 days that ends each request at once.
test('a timer beyond the longest delay of setTimeout fires when it is due, and can be cancelled', () => {
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    const dayMs = 86_400_000;
    const started = mock.method(globalThis, 'setTimeout');
    let fired = 0;
    const fire = () => {
      fired += 1;
    };
    SYSTEM_TIMERS.after(30 * dayMs, fire);
    const cancel = SYSTEM_TIMERS.after(30 * dayMs, fire);
    mock.timers.tick(25 * dayMs);
    cancel();
    mock.timers.tick(4 * dayMs);
    assert.equal(fired, 0);
    mock.timers.tick(2 * dayMs);
    assert.equal(fired, 1);
    for (const {
      arguments: [, delayMs = 0],
    } of started.mock.calls) {
      assert.ok(delayMs < 2 ** 31, `a delay of ${delayMs} ms fires at once`);
    }
  } finally {
    mock.restoreAll();
    mock.timers.reset();
  }
});
