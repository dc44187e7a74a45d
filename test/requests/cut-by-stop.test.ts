/** What becomes of the requests that are left as their daemon stops: each gets an error that is true of it, and a log line. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REQUEST_EVENTS } from '../../src/core/logging/catalogue/requests.js';
import type { RequestDescription } from '../../src/core/requests/index.js';
import { Daemon, keyedRequest, request } from './support.js';

const CUT = { kind: 'cut' } as const;
const AGE_MS = 4_000;

function answerTo(daemon: Daemon, { id }: RequestDescription) {
  const [answer, ...more] = daemon.effects.filter(
    (effect) => (effect.kind === 'refuse' || effect.kind === 'abort') && effect.request === id,
  );
  assert.deepEqual(more, []);
  assert.ok(answer?.kind === 'refuse' || answer?.kind === 'abort');
  const { code, outcome, retryable } = answer.fault;
  return { kind: answer.kind, code, outcome, retryable };
}

function linesOf(daemon: Daemon) {
  return daemon.effects.flatMap((effect) =>
    effect.kind === 'log' && effect.event === REQUEST_EVENTS.cutByStop ? [effect.fields] : [],
  );
}

test('a request that waits as its daemon stops is refused as not run, and named', () => {
  const daemon = new Daemon();
  daemon.choice = 'wait';
  const work = request();
  daemon.arrive(work);
  daemon.now = AGE_MS;
  daemon.feed(CUT);
  assert.deepEqual(answerTo(daemon, work), {
    kind: 'refuse',
    code: 'stopping',
    outcome: 'refused-not-run',
    retryable: true,
  });
  assert.deepEqual(linesOf(daemon), [
    {
      request: work.id,
      tenant: work.tenant,
      phase: 'waiting',
      backend: '',
      attempts: 0,
      ageMs: AGE_MS,
      answerBegun: false,
      deliveredTokens: 0,
    },
  ]);
  assert.equal(daemon.table.activeCount, 0);
});

for (const repeatable of [true, false]) {
  test(`a request at a backend has an unknown outcome as its daemon stops (repeatable: ${repeatable})`, () => {
    const daemon = new Daemon();
    const work = request({ repeatable });
    daemon.arrive(work);
    const effects = daemon.feed(CUT);
    assert.deepEqual(answerTo(daemon, work), {
      kind: 'refuse',
      code: 'stopping',
      outcome: 'unknown',
      retryable: repeatable,
    });
    assert.ok(daemon.kinds(effects).includes('cancel'));
    assert.deepEqual(
      linesOf(daemon).map(({ phase, backend }) => [phase, backend]),
      [['attempting', 'a']],
    );
  });
}

test('an answer that has begun is aborted as its daemon stops', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.report(work, { kind: 'first-byte', status: 200 });
  daemon.feed(CUT);
  assert.equal(answerTo(daemon, work).kind, 'abort');
  assert.deepEqual(
    linesOf(daemon).map(({ answerBegun }) => answerBegun),
    [true],
  );
});

test('a stream that waits for another engine has an unknown outcome as its daemon stops', () => {
  const daemon = new Daemon();
  const work = request({ streamed: true });
  daemon.arrive(work);
  daemon.choice = 'wait';
  const broken = { kind: 'broken', reason: 'reset', deliveredTokens: 3 } as const;
  daemon.report(work, { ...broken, headersForwarded: true, version: null });
  daemon.feed(CUT);
  const { kind, outcome } = answerTo(daemon, work);
  assert.deepEqual([kind, outcome], ['abort', 'unknown']);
});

test('the outcome of a keyed request that a stop cut is recorded, and a request that comes after it is not run', () => {
  const daemon = new Daemon();
  const work = keyedRequest();
  daemon.arrive(work);
  daemon.feed(CUT);
  assert.equal(daemon.table.settlingCount, 0);
  const repeat = new Daemon('d2', daemon.store);
  const again = keyedRequest();
  repeat.arrive(again);
  assert.deepEqual(repeat.dispatches(again), []);
  const late = request();
  daemon.arrive(late);
  assert.equal(answerTo(daemon, late).outcome, 'refused-not-run');
  assert.deepEqual(daemon.dispatches(late), []);
});
