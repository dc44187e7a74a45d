/** Guards against bodies of callers that stop, and hold memory for as long as their callers stay. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { StalledBodies, type WatchedBody } from '../../src/shell/gateway/stalled-bodies.js';
import { ManualTimers } from './support/manual-timers.js';

const IDLE_TIMEOUT_MS = 3_000;
/** A body without progress for this long is evicted. */
const STALL_MS = 1_000;
/** A body is looked at this often. */
const SWEEP_MS = 500;

let timers: ManualTimers;
let bodies: StalledBodies;

beforeEach(() => {
  timers = new ManualTimers();
  bodies = new StalledBodies({ timers, idleTimeoutMs: () => IDLE_TIMEOUT_MS });
});

class Body implements WatchedBody {
  length = 0;
  isHeldBack = false;
  ended: string | undefined;

  end(reason: string): void {
    this.ended = reason;
  }

  arrive(bytes: number): void {
    this.length += bytes;
    bodies.recordArrival(this);
  }
}

function begin(): Body {
  const body = new Body();
  bodies.add(body);
  return body;
}

/** Whether memory for one more body was found as a body was evicted. */
function makeRoomFor(needed: readonly Body[]): boolean {
  const attempt = () => needed.some(({ ended }) => ended === 'evicted') || undefined;
  return bodies.makeRoom(attempt) === true;
}

test('a body ends once no byte has come for the idle time-out, and not before', () => {
  const body = begin();
  body.arrive(1);
  timers.advance(IDLE_TIMEOUT_MS - SWEEP_MS);
  assert.equal(body.ended, undefined);
  timers.advance(3 * SWEEP_MS);
  assert.equal(body.ended, 'timed-out');
});

test('a body whose bytes come with pauses below the idle time-out goes on', () => {
  const body = begin();
  for (let turn = 0; turn < 10; turn += 1) {
    body.arrive(1);
    timers.advance(IDLE_TIMEOUT_MS - SWEEP_MS);
  }
  assert.equal(body.ended, undefined);
});

test('a body that this daemon does not read is not timed out', () => {
  const body = begin();
  body.isHeldBack = true;
  timers.advance(5 * IDLE_TIMEOUT_MS);
  assert.equal(body.ended, undefined);
});

test('where memory is needed, the body without progress for longest is evicted', () => {
  const first = begin();
  const second = begin();
  timers.advance(100);
  first.arrive(10_000);
  timers.advance(STALL_MS);
  assert.equal(makeRoomFor([first, second]), true);
  assert.deepEqual([first.ended, second.ended], [undefined, 'evicted']);
});

test('a byte now and then is no progress', () => {
  const trickle = begin();
  const upload = begin();
  for (let turn = 0; turn < 10; turn += 1) {
    trickle.arrive(1);
    upload.arrive(10_000);
    timers.advance(STALL_MS / 5);
  }
  assert.equal(makeRoomFor([trickle, upload]), true);
  assert.deepEqual([trickle.ended, upload.ended], ['evicted', undefined]);
});

test('no body is evicted that makes progress', () => {
  const body = begin();
  timers.advance(STALL_MS);
  body.arrive(10_000);
  timers.advance(STALL_MS / 2);
  assert.equal(makeRoomFor([body]), false);
  assert.equal(body.ended, undefined);
});

test('a body that has been read gives no room and is not timed out', () => {
  const body = begin();
  bodies.remove(body);
  timers.advance(2 * IDLE_TIMEOUT_MS);
  assert.equal(makeRoomFor([body]), false);
  assert.equal(body.ended, undefined);
});
