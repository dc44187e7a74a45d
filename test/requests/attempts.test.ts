/** Retries, resumed streams, deadlines and outcomes of the request table. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MAX_ATTEMPTS } from '../../src/core/requests/index.js';
import { COMPLETED, Daemon, request } from './support.js';

const BROKEN = {
  kind: 'broken',
  reason: 'ECONNRESET',
  deliveredTokens: 0,
  headersForwarded: false,
  version: null,
};
const broken = (overrides: object = {}) =>
  ({ ...BROKEN, ...overrides }) as typeof BROKEN & { kind: 'broken' };
const NOT_SENT = { kind: 'not-sent', reason: 'ECONNREFUSED' } as const;
const FULL = { kind: 'refused-not-run', reason: 'engine-full', retryAfterMs: 4_000 } as const;

test('a request that was not sent goes to another backend under the next attempt id', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  daemon.report(work, NOT_SENT);
  daemon.report(work, COMPLETED);
  const sent = daemon.dispatches(work);
  assert.deepEqual(
    sent.map((effect) => [effect.attempt, effect.backend]),
    [
      [`${work.id}.1`, 'a'],
      [`${work.id}.2`, 'b'],
    ],
  );
  assert.equal(daemon.table.activeCount, 0);
});

test('attempts are limited, and a request that was never sent is refused as not run', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  for (let index = 0; index < MAX_ATTEMPTS; index += 1) daemon.report(work, NOT_SENT);
  assert.equal(daemon.dispatches(work).length, MAX_ATTEMPTS);
  assert.equal(daemon.fault(work)?.outcome, 'refused-not-run');
});

test('retries stay a limited share of traffic when every backend fails', () => {
  const daemon = new Daemon();
  let attempts = 0;
  for (let index = 0; index < 1_000; index += 1) {
    const work = request();
    daemon.arrive(work);
    while (daemon.fault(work) === undefined) daemon.report(work, NOT_SENT);
    attempts += daemon.dispatches(work).length;
  }
  assert.ok(attempts <= 1_000 * 1.1 + 10, `${attempts} attempts for 1000 requests`);
});

test('a request that an engine refused as full is retried once and then refused as overloaded', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  daemon.report(work, FULL);
  daemon.report(work, FULL);
  assert.equal(daemon.dispatches(work).length, 2);
  assert.equal(daemon.fault(work)?.code, 'overloaded');
  assert.equal(daemon.fault(work)?.retryAfterMs, 4_000);
});

test('a broken attempt of a request that is not repeatable is final, with an unknown outcome', () => {
  const daemon = new Daemon();
  const work = request({ repeatable: false });
  daemon.arrive(work);
  daemon.report(work, broken());
  assert.equal(daemon.dispatches(work).length, 1);
  assert.equal(daemon.fault(work)?.outcome, 'unknown');
  assert.equal(daemon.fault(work)?.retryable, false);
});

test('a broken stream resumes at the first token that was not delivered', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.report(work, { kind: 'first-byte', status: 200 });
  daemon.report(work, broken({ deliveredTokens: 7, headersForwarded: true }));
  assert.equal(daemon.dispatches(work).at(-1)?.resumeOffset, 7);
  assert.equal(daemon.dispatches(work).at(-1)?.backend, 'b');
});

test('a stream resumes on the version that generated its first tokens, also after further failures', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.report(work, broken({ deliveredTokens: 7, headersForwarded: true, version: 'v1+a1' }));
  daemon.report(work, NOT_SENT);
  daemon.report(work, broken({ deliveredTokens: 7, headersForwarded: true }));
  assert.deepEqual(daemon.requestedVersions, [null, 'v1+a1', 'v1+a1', 'v1+a1']);
});

test('an answer that is not a stream is aborted, not restarted, once its headers were forwarded', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  const effects = daemon.report(work, broken({ headersForwarded: true }));
  assert.ok(daemon.kinds(effects).includes('abort'));
  assert.equal(daemon.dispatches(work).length, 1);
});

test('after a broken attempt no later refusal claims that the request was not run', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  daemon.report(work, broken());
  daemon.report(work, FULL);
  daemon.report(work, FULL);
  assert.equal(daemon.fault(work)?.outcome, 'unknown');
});

test('events of an earlier attempt are ignored', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  daemon.report(work, NOT_SENT);
  const late = { ...COMPLETED, attempt: `${work.id}.1` };
  assert.deepEqual(daemon.feed({ kind: 'attempt', request: work.id, event: late }), []);
  assert.equal(daemon.table.activeCount, 1);
});

test('a waiting request is dispatched when admitted, or refused at its deadline', () => {
  const daemon = new Daemon();
  daemon.choice = 'wait';
  const [admitted, late] = [request(), request({ deadline: 500 })];
  daemon.arrive(admitted);
  daemon.arrive(late);
  assert.deepEqual(daemon.tick(499), []);
  daemon.tick(500);
  assert.deepEqual(
    [daemon.fault(late)?.code, daemon.fault(late)?.outcome, daemon.fault(late)?.retryAfterMs],
    ['deadline-passed', 'refused-not-run', 2_500],
  );
  daemon.choice = 'dispatch';
  daemon.feed({ kind: 'admitted', request: admitted.id });
  assert.equal(daemon.dispatches(admitted).length, 1);
});

test('a deadline that passes during an attempt cancels it, with an unknown outcome', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  const effects = daemon.tick(work.deadline);
  assert.deepEqual(daemon.kinds(effects), [
    'cancel',
    'attempt-ended',
    'refuse',
    'log',
    'request-ended',
  ]);
  assert.equal(daemon.fault(work)?.outcome, 'unknown');
});

test('the deadline no longer applies once response headers were forwarded', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.report(work, { kind: 'first-byte', status: 200 });
  assert.deepEqual(daemon.tick(work.deadline + 1), []);
});

test('the attempt of a caller that disconnects is cancelled', () => {
  const daemon = new Daemon();
  const work = request();
  daemon.arrive(work);
  const effects = daemon.feed({ kind: 'caller-gone', request: work.id });
  assert.deepEqual(daemon.kinds(effects), ['cancel', 'attempt-ended', 'request-ended']);
  assert.equal(daemon.table.activeCount, 0);
});

test('a partly delivered stream is aborted after 10 s without an engine that can resume it', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.choice = 'wait';
  daemon.report(work, broken({ deliveredTokens: 1, headersForwarded: true }));
  assert.deepEqual(daemon.tick(9_999), []);
  assert.ok(daemon.kinds(daemon.tick(10_000)).includes('abort'));
});

/** The oracle tracks whether any attempt may have run and how often the caller was answered. */
test('any order of events yields one correct final answer, and at most one run if not repeatable', () => {
  const step = fc.constantFrom(
    NOT_SENT,
    FULL,
    { kind: 'refused-not-run', reason: 'engine-busy' } as const,
    broken(),
    broken({ headersForwarded: true, deliveredTokens: 2 }),
    { kind: 'first-byte', status: 200 } as const,
    COMPLETED,
    'tick' as const,
    'caller-gone' as const,
    'admitted' as const,
  );
  const choices = fc.constantFrom('dispatch' as const, 'wait' as const, 'refuse' as const);
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.boolean(),
      fc.array(fc.tuple(step, choices), { maxLength: 12 }),
      (repeatable, streamed, steps) => {
        const daemon = new Daemon();
        const work = request({ repeatable, streamed });
        daemon.arrive(work);
        let mayHaveRun = 0;
        for (const [event, choice] of steps) {
          daemon.choice = choice;
          const before = daemon.table.get(work.id);
          const attempting = before?.phase.kind === 'attempting';
          if (event === 'tick') daemon.tick(daemon.now + 9_000);
          else if (typeof event === 'string') daemon.feed({ kind: event, request: work.id });
          else daemon.report(work, event);
          if (!attempting) continue;
          const ran =
            typeof event === 'object' && (event.kind === 'broken' || event.kind === 'completed');
          const cancelled = daemon.kinds().includes('cancel');
          if (ran || cancelled) mayHaveRun += 1;
        }
        const answers = daemon.effects.filter((e) => e.kind === 'refuse' || e.kind === 'abort');
        const ends = daemon.effects.filter((e) => e.kind === 'request-ended');
        assert.ok(answers.length <= 1 && ends.length <= 1);
        assert.equal(ends.length, daemon.table.activeCount === 0 ? 1 : 0);
        if (daemon.fault(work)?.outcome === 'refused-not-run') assert.equal(mayHaveRun, 0);
        if (!repeatable) assert.ok(mayHaveRun <= 1);
        const last = daemon.dispatches(work).at(-1);
        assert.ok(daemon.dispatches(work).length <= MAX_ATTEMPTS);
        if (last)
          assert.ok(daemon.effects.every((e) => e.kind !== 'dispatch' || e.resumeOffset <= 2));
      },
    ),
    { seed: 11, numRuns: 2_000 },
  );
});
