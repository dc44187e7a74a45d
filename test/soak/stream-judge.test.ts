/** The judgement of streams of several software versions, on made-up calls. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallRecord, RunRecord } from '../../soak/record.js';
import { eventText } from '../../soak/response-bodies.js';
import { hasAllEvents, resumptionFaults, versionFaults } from '../../soak/stream-judge.js';
import { answered, classOf, madeCall } from './support/made-calls.js';

function stream(fields: Partial<CallRecord>, body: string, status = 200): CallRecord {
  const made = { id: 'r2', requestClass: classOf('streaming'), end: answered({ status, body }) };
  const times = { sentMs: 1_000, endedMs: 1_100, deadlineMs: 4_000 };
  return madeCall({ ...made, ...times, ...fields });
}

const RESUMED = { resumes: { streamId: 'r1', lastEventId: 1, softwareVersion: 'v1' } };

function events(versions: readonly string[], first = 1): string {
  return versions.map((version, index) => eventText('r2', first + index, 3, version)).join('');
}

test('a resumed stream is whole from the event after the last one', () => {
  assert.ok(hasAllEvents(stream(RESUMED, ''), events(['v1', 'v1'], 2)));
  assert.ok(!hasAllEvents(stream(RESUMED, ''), events(['v1', 'v1', 'v1'])));
  assert.ok(!hasAllEvents(stream({}, ''), events(['v1', 'v1'], 2)));
});

test('ORDER: more than two streams hold events of two versions, in one answer or over attempts', () => {
  const inOneAnswer = (id: string) => stream({ id }, events(['v1', 'v2', 'v2']));
  const overAttempts = stream(RESUMED, events(['v2', 'v2'], 2));
  assert.equal(versionFaults([inOneAnswer('a'), overAttempts]).length, 0);
  assert.equal(versionFaults([inOneAnswer('a'), inOneAnswer('b'), overAttempts]).length, 1);
  const asBegun = stream(RESUMED, events(['v1', 'v1'], 2));
  assert.equal(versionFaults([asBegun, inOneAnswer('a'), inOneAnswer('b')]).length, 0);
});

test('LOST: under half as many of 12 resumptions go on as new streams begin, while two servers serve', () => {
  const serving = ['s1', 's2'].map((serverId) => ({
    serverId,
    softwareVersion: 'v1',
    fromMs: 0,
    toMs: 9_000,
  }));
  const run = { serving } as unknown as RunRecord;
  const begun = Array.from({ length: 12 }, () => stream({}, events(['v1', 'v1', 'v1'])));
  const resumed = (count: number, goingOn: number) =>
    Array.from({ length: count }, (_, index) =>
      index < goingOn
        ? stream(RESUMED, events(['v1', 'v1'], 2))
        : stream({ ...RESUMED }, 'no', 503),
    );
  const faults = (count: number, goingOn: number, of = run) =>
    resumptionFaults([...begun, ...resumed(count, goingOn)], of, () => true).length;
  assert.equal(faults(12, 5), 1);
  assert.equal(faults(12, 6), 0);
  assert.equal(faults(11, 0), 0);
  const oneServer = { serving: serving.slice(1) } as unknown as RunRecord;
  assert.equal(faults(12, 0, oneServer), 0);
});
