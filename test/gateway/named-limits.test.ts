/** What servers say of their limits, and what is believed of it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REQUEST_CODEC } from '../../platform/request-codec.js';
import {
  NamedLimits,
  type ReportedLimit,
  type ServerRecord,
} from '../../src/core/gateway/index.js';

const SERVER: ServerRecord = {
  id: 'i-1',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 6,
  state: 'ready',
  isSpot: false,
  stage: undefined,
};
const NONE: ReportedLimit = { kind: 'none', attemptId: 'a' };

function named(perSecond: number): ReportedLimit {
  return { kind: 'named', perSecond };
}

for (const [text, expected] of [
  ['2', { kind: 'named', perSecond: 2 }],
  ['0.2', { kind: 'named', perSecond: 0.2 }],
  ['0', { kind: 'named', perSecond: 0 }],
  ['1.2000000000000002', { kind: 'named', perSecond: 1.2000000000000002 }],
  ['3, 1.5', { kind: 'named', perSecond: 1.5 }],
] as const) {
  test(`read: ${text}`, () => {
    assert.deepEqual(REQUEST_CODEC.readLimit(200, { 'server-limit': text }), expected);
  });
}

for (const text of [
  '',
  'fast',
  '-1',
  'NaN',
  'Infinity',
  '0x10',
  '1e9',
  '1234567890',
  '9'.repeat(400),
  '1,',
  '2 3',
]) {
  test(`unreadable: ${text.slice(0, 12)}`, () => {
    const said = REQUEST_CODEC.readLimit(200, { 'server-limit': text });
    assert.equal(said.kind, 'unreadable');
    assert.ok(said.kind === 'unreadable' && said.text.length <= 64);
  });
}

test('an answer of another server says nothing, one without the field says so', () => {
  assert.deepEqual(REQUEST_CODEC.readLimit(421, { 'server-limit': '2' }), { kind: 'unknown' });
  assert.deepEqual(REQUEST_CODEC.readLimit(421, {}), { kind: 'unknown' });
  const none = REQUEST_CODEC.readLimit(200, { 'x-attempt-id': 'a' });
  assert.deepEqual(none, { kind: 'none', attemptId: 'a' });
});

test('a limit holds until an answer to a later request names none', () => {
  const limits = new NamedLimits();
  assert.equal(limits.recordReport(SERVER, named(2), { sentAtMs: 0, nowMs: 100 })?.kind, 'named');
  assert.equal(limits.recordReport(SERVER, NONE, { sentAtMs: 90, nowMs: 300 }), undefined);
  assert.equal(limits.of('i-1')?.perSecond, 2);
  assert.equal(
    limits.recordReport(SERVER, named(3), { sentAtMs: 200, nowMs: 400 })?.kind,
    'changed',
  );
  assert.equal(limits.recordReport(SERVER, NONE, { sentAtMs: 401, nowMs: 500 })?.kind, 'ended');
  assert.equal(limits.of('i-1'), undefined);
});

test('what others tell counts by its age, and the first answer of its own is news', () => {
  const limits = new NamedLimits();
  assert.equal(
    limits.applyAdvertised('i-1', { perSecond: 2, reportedAgoMs: 10 }, 1_000)?.kind,
    'named',
  );
  assert.equal(
    limits.applyAdvertised('i-1', { perSecond: 5, reportedAgoMs: 50 }, 1_010),
    undefined,
  );
  assert.equal(limits.of('i-1')?.isFirstHand, false);
  assert.equal(
    limits.recordReport(SERVER, named(2), { sentAtMs: 1_000, nowMs: 1_020 })?.kind,
    'named',
  );
  assert.equal(
    limits.applyAdvertised('i-1', { perSecond: undefined, reportedAgoMs: 100 }, 1_050),
    undefined,
  );
  const ended = limits.applyAdvertised('i-1', { perSecond: undefined, reportedAgoMs: 5 }, 1_050);
  assert.deepEqual(ended, { kind: 'ended', before: 2 });
  assert.equal(
    limits.applyAdvertised('i-1', { perSecond: 2, reportedAgoMs: 60 }, 1_100),
    undefined,
  );
  assert.equal(
    limits.applyAdvertised('i-1', { perSecond: 2, reportedAgoMs: 20 }, 1_100)?.kind,
    'named',
  );
});

test('a limit that moves a little with each answer is no news, and the newest one is told on', () => {
  const limits = new NamedLimits();
  limits.recordReport(SERVER, named(10), { sentAtMs: 0, nowMs: 10 });
  for (const [nowMs, perSecond] of [
    [20, 10.5],
    [30, 9.6],
    [40, 10.9],
  ] as const) {
    assert.equal(limits.recordReport(SERVER, named(perSecond), { sentAtMs: 0, nowMs }), undefined);
  }
  assert.deepEqual(limits.advertisementOf('i-1', 50), { perSecond: 10.9, reportedAgoMs: 10 });
  const change = limits.recordReport(SERVER, named(12), { sentAtMs: 0, nowMs: 60 });
  assert.deepEqual(change, { kind: 'changed', perSecond: 12, before: 10 });
});
