/** A real daemon process cuts its requests at a second signal: their callers are told what became of them. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { RunningDaemonPart } from '../../src/lab/fleet/running-fleet.js';
import { AT_MOST_ONCE, type RunningCall, sendModelRequest } from './support/caller.js';
import { eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';
import { SMALL_FLEET } from './support/fleet-definition.js';

/** An answer of so many tokens takes longer than the test. */
const ENDLESS_TOKENS = 20_000;
const FIRST_TOKENS = 3;

let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start(SMALL_FLEET);
});
after(() => fleet?.end());

function send(daemon: RunningDaemonPart, streamed: boolean, headers = {}): RunningCall {
  return sendModelRequest(daemon, { streamed, outputTokens: ENDLESS_TOKENS, headers });
}

test('requests that a second signal cuts are told so, and not only cut', async () => {
  const stopping = fleet.daemon('d1');
  const streams = [send(stopping, true), send(stopping, true, AT_MOST_ONCE)];
  const whole = [send(stopping, false), send(stopping, false, AT_MOST_ONCE)];
  await Promise.all(streams.map((stream) => stream.received(FIRST_TOKENS)));
  await eventuallyTrue('all requests to run', async () => {
    return (await fleet.status(stopping)).requestsRunning >= streams.length + whole.length;
  });
  stopping.process.signal('SIGTERM');
  await eventuallyTrue('the stop to begin', async () => {
    return (await fleet.status(stopping)).state === 'stopping';
  });
  stopping.process.signal('SIGTERM');
  const outcomesOf = (calls: readonly RunningCall[]) =>
    Promise.all(calls.map(({ outcome }) => outcome));
  assert.deepEqual(
    await outcomesOf(streams),
    streams.map(() => ({ kind: 'cut', detail: 'error in the stream: stopping' })),
  );
  assert.deepEqual(
    await outcomesOf(whole),
    whole.map(() => ({ kind: 'unknown', code: 'stopping' })),
  );
  assert.deepEqual(await stopping.process.exited, { code: 1, signal: null });
  await fleet.parts.restartDaemon(stopping.name);
});
