/**
 * Idempotency claims: before the dispatch, across daemons, and when the store or a daemon fails.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { COMPLETED, Daemon, FakeStore, keyedRequest } from './support.js';

const KEY = 'claim/scanhuis/key-1';
const ANSWER = {
  kind: 'answered',
  status: 201,
  contentType: 'text/plain',
  body: 'renewed',
} as const;
const BROKEN = {
  kind: 'broken',
  reason: 'reset',
  deliveredTokens: 0,
  headersForwarded: false,
  version: null,
} as const;

function outcomeIn(store: FakeStore): unknown {
  return (store.rows.get(KEY)?.value as { outcome: unknown } | null | undefined)?.outcome;
}

test('the claim is written before the dispatch and contains the outcome afterwards', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  const kinds = daemon.kinds(daemon.arrive(work));
  assert.ok(kinds.indexOf('table') < kinds.indexOf('dispatch'));
  assert.equal(outcomeIn(daemon.store), null);
  daemon.report(work, { ...COMPLETED, outcome: ANSWER });
  assert.deepEqual(outcomeIn(daemon.store), ANSWER);
  assert.equal(daemon.table.settlingCount, 0);
});

test('a repeat through another daemon is refused while the first request runs, then replayed', () => {
  const first = new Daemon('d1');
  const second = new Daemon('d2', first.store);
  const work = keyedRequest();
  first.arrive(work);
  const early = keyedRequest();
  second.arrive(early);
  assert.equal(second.fault(early)?.code, 'idempotency-in-progress');
  assert.equal(second.fault(early)?.retryable, true);
  first.report(work, { ...COMPLETED, outcome: ANSWER });
  const repeat = keyedRequest();
  second.arrive(repeat);
  const replay = second.effects.find((effect) => effect.kind === 'replay');
  assert.deepEqual(replay, { kind: 'replay', request: repeat.id, outcome: ANSWER });
  assert.equal(second.dispatches(repeat).length, 0);
});

test('a request with the same key and another body is refused', () => {
  const daemon = new Daemon();
  daemon.arrive(keyedRequest());
  const other = keyedRequest({ bodyDigest: 'digest-2' });
  daemon.arrive(other);
  assert.equal(daemon.fault(other)?.code, 'idempotency-conflict');
});

test('while the store is down nothing is dispatched and the request is refused as not run', () => {
  const daemon = new Daemon();
  daemon.store.mode = 'down';
  const work = keyedRequest();
  daemon.arrive(work);
  assert.equal(daemon.dispatches(work).length, 0);
  assert.deepEqual(
    [daemon.fault(work)?.code, daemon.fault(work)?.outcome, daemon.fault(work)?.retryAfterMs],
    ['store-unavailable', 'refused-not-run', 700],
  );
  assert.equal(daemon.table.settlingCount, 0);
});

for (const mode of ['lost-after', 'lost-before'] as const) {
  test(`a claim whose answer was lost (${mode}) is read back before the dispatch`, () => {
    const store = new FakeStore();
    const daemon = new Daemon('d1', store);
    const work = keyedRequest();
    store.mode = mode;
    const originalCall = store.call.bind(store);
    store.call = (effect) => {
      const result = originalCall(effect);
      store.mode = 'up';
      return result;
    };
    daemon.arrive(work);
    assert.equal(daemon.dispatches(work).length, 1);
    daemon.report(work, { ...COMPLETED, outcome: ANSWER });
    assert.deepEqual(outcomeIn(store), ANSWER);
  });
}

test('a claim without any answer is refused as not run, and released once the store answers', () => {
  const daemon = new Daemon();
  daemon.store.mode = 'lost-after';
  const work = keyedRequest();
  daemon.arrive(work);
  assert.equal(daemon.fault(work)?.outcome, 'refused-not-run');
  assert.equal(daemon.dispatches(work).length, 0);
  daemon.store.mode = 'up';
  daemon.tick(60_000);
  assert.equal(daemon.store.rows.get(KEY)?.value, null);
  assert.equal(daemon.table.settlingCount, 0);
});

test('after the holder died, the outcome of a repeat is unknown, and it runs only if repeatable', () => {
  const dead = new Daemon('d1');
  const survivor = new Daemon('d2', dead.store);
  dead.arrive(keyedRequest());
  survivor.endedDaemons.add('d1');
  const repeat = keyedRequest();
  survivor.arrive(repeat);
  assert.equal(survivor.fault(repeat)?.code, 'idempotency-outcome-unknown');
  assert.equal(survivor.fault(repeat)?.outcome, 'unknown');
  assert.equal(survivor.dispatches(repeat).length, 0);
  const repeatableRequest = keyedRequest({ repeatable: true });
  survivor.arrive(repeatableRequest);
  assert.equal(survivor.dispatches(repeatableRequest).length, 1);
});

test('a broken request is recorded with an unknown outcome and never runs again under its key', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  daemon.report(work, BROKEN);
  assert.equal(daemon.fault(work)?.outcome, 'unknown');
  const repeat = keyedRequest();
  daemon.arrive(repeat);
  assert.equal(daemon.dispatches(repeat).length, 0);
  const replay = daemon.effects.find((effect) => effect.kind === 'replay');
  assert.equal(replay?.kind === 'replay' && replay.outcome.kind, 'failed');
});

test('a refused request releases its key', () => {
  const daemon = new Daemon();
  daemon.choice = 'refuse';
  daemon.arrive(keyedRequest());
  daemon.choice = 'dispatch';
  const repeat = keyedRequest();
  daemon.arrive(repeat);
  assert.equal(daemon.dispatches(repeat).length, 1);
});

test('recording an outcome is retried until the store answers', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  daemon.store.mode = 'down';
  daemon.report(work, { ...COMPLETED, outcome: ANSWER });
  assert.equal(daemon.table.activeCount, 0);
  assert.equal(daemon.table.settlingCount, 1);
  for (let now = 1_000; now <= 3_600_000; now += 1_000) daemon.tick(now);
  const calls = daemon.effects.filter((effect) => effect.kind === 'table').length;
  assert.ok(calls < 300, `${calls} calls in an hour of outage`);
  const early = keyedRequest();
  daemon.store.mode = 'up';
  daemon.arrive(early);
  assert.equal(daemon.fault(early)?.code, 'idempotency-in-progress');
  daemon.tick(3_700_000);
  assert.deepEqual(outcomeIn(daemon.store), ANSWER);
  assert.equal(daemon.table.settlingCount, 0);
});

test('a recorded outcome whose answer was lost is not reported as taken over by another daemon', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  daemon.store.mode = 'lost-after';
  daemon.report(work, { ...COMPLETED, outcome: ANSWER });
  daemon.store.mode = 'up';
  daemon.tick(60_000);
  assert.deepEqual(outcomeIn(daemon.store), ANSWER);
  const lines = daemon.effects.filter((effect) => effect.kind === 'log');
  assert.deepEqual(
    lines.map((line) => line.kind === 'log' && line.event.number),
    [2105],
  );
});

test('a request that is not repeatable completes after its caller disconnects, and is recorded', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  assert.deepEqual(daemon.feed({ kind: 'caller-gone', request: work.id }), []);
  assert.equal(daemon.table.activeCount, 1);
  daemon.report(work, { ...COMPLETED, outcome: ANSWER });
  assert.deepEqual(outcomeIn(daemon.store), ANSWER);
});

test('a request that is not repeatable runs on past its deadline, and its outcome is recorded', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  daemon.tick(work.deadline);
  assert.equal(daemon.fault(work)?.outcome, 'unknown');
  daemon.tick(work.deadline + 1);
  daemon.report(work, { ...COMPLETED, outcome: ANSWER });
  assert.deepEqual(outcomeIn(daemon.store), ANSWER);
  assert.deepEqual(daemon.kinds().filter((kind) => kind === 'refuse').length, 1);
});
