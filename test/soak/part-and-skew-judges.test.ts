/** What the soak reports of parts of prompts that crash servers, and of new connections that go to one daemon. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { crashesByPart, partsSentOn, soundRequestsLost } from '../../soak/part-judge.js';
import type { Arrival, CallRecord, RunRecord } from '../../soak/record.js';
import { CRASHING_MARK, eventText } from '../../soak/response-bodies.js';
import { unservedSkews } from '../../soak/skew-judge.js';
import { answered, classOf, madeCall } from './support/made-calls.js';

const CONTACT_MS = 3_000;
const END_MS = 60_000;
const PART = { id: 'bad', position: 'second' } as const;
const RUN = {
  bounds: { contactMs: CONTACT_MS },
  endMs: END_MS,
  skews: [{ daemon: 'd1', fromMs: 20_000, toMs: 30_000 }],
} as unknown as RunRecord;
const inTouch = () => true;
const never = () => false;

/** Requests with the part, one each 100 ms from 10 s on; the first `ending` of them end their servers. */
function requestsWithPart(count: number, ending: number): readonly CallRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const atMs = 10_000 + 100 * index;
    const arrival = { atMs, endedMs: atMs + 60, hasCrashedServer: index < ending } as Arrival;
    const body = `${CRASHING_MARK} ${index}`;
    return madeCall({
      id: `p${index}`,
      body,
      sentMs: atMs,
      crashingPart: PART,
      arrivals: [arrival],
    });
  });
}

/** Streams, one each 100 ms, of which every `ofEach`th begins. */
function streams(fromMs: number, count: number, ofEach: number): readonly CallRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const sentMs = fromMs + 100 * index;
    const end =
      index % ofEach === 0
        ? answered({ body: eventText('r', 1, 2) })
        : answered({ status: 503, stamp: undefined, body: '' });
    const requestClass = classOf('streaming');
    return madeCall({
      id: `s${fromMs}-${index}`,
      requestClass,
      sentMs,
      deadlineMs: sentMs + 50,
      end,
    });
  });
}

test('CRASHES: requests with a part under which five servers ended go on reaching servers', () => {
  const few = requestsWithPart(38, 5);
  const many = requestsWithPart(40, 5);
  assert.deepEqual(crashesByPart(many, END_MS), [5]);
  assert.equal(partsSentOn(few, RUN, inTouch).length, 0, 'three more are allowed');
  assert.equal(partsSentOn(many, RUN, inTouch).length, 1);
  assert.equal(partsSentOn(many, RUN, never).length, 0, 'by daemons out of touch');
  assert.equal(partsSentOn(requestsWithPart(200, 4), RUN, inTouch).length, 0, 'four ends');
});

test('LOST: sound streams begin less than half as often beside requests with a crashing part as before', () => {
  const beside = requestsWithPart(300, 5);
  const before = streams(2_000, 40, 1);
  assert.equal(
    soundRequestsLost([...before, ...beside, ...streams(20_000, 40, 3)], RUN, inTouch).length,
    1,
  );
  assert.equal(
    soundRequestsLost([...before, ...beside, ...streams(20_000, 40, 2)], RUN, inTouch).length,
    0,
  );
  const early = streams(11_000, 40, 3);
  assert.equal(
    soundRequestsLost([...before, ...beside, ...early], RUN, inTouch).length,
    0,
    'too soon',
  );
});

test('RECOVER: first tries that were read are served less than three quarters as often while connections go to one daemon', () => {
  const before = streams(15_100, 40, 1);
  const during = (ofEach: number) => streams(24_000, 40, ofEach);
  assert.equal(unservedSkews([...before, ...during(2)], RUN, inTouch).length, 1);
  assert.equal(unservedSkews([...before, ...during(1)], RUN, inTouch).length, 0);
  const unread = during(2).map((call) => ({
    ...call,
    end: { kind: 'closed', reason: '' } as const,
  }));
  assert.equal(
    unservedSkews([...before, ...during(1), ...unread], RUN, inTouch).length,
    0,
    'unread',
  );
});
