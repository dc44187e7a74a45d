/** Real engine processes are killed or misbehave: callers get complete and exact responses, or visibly broken ones. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { RunningBackend } from '../../src/lab/fleet/running-fleet.js';
import { AT_MOST_ONCE, type RunningCall, sendModelRequest } from './support/caller.js';
import { eventually, eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';

const ENGINES = ['a1', 'a2', 'a3'];
const STALL_MS = 600_000;
const TOKENS_BEFORE_FAULT = 10;
const LONG_ANSWER_TOKENS = 800;
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start({ pools: { a: ENGINES }, webs: [], daemons: ['d1', 'd2'] });
});
after(() => fleet?.end());

/** Ids of the attempts that engines other than the named one have received. */
async function attemptsElsewhere(engine: string): Promise<readonly string[]> {
  const others = fleet.parts.engines.filter(({ name }) => name !== engine);
  const ledgers = await Promise.all(others.map((other) => fleet.ledger(other)));
  return ledgers.flatMap(({ entries }) => entries.map(({ attempt }) => attempt));
}

async function activeAttempts(engine: RunningBackend): Promise<readonly string[]> {
  const { entries } = await fleet.ledger(engine);
  return entries.filter(({ outcome }) => outcome === 'active').map(({ attempt }) => attempt);
}

test('requests on a killed engine get a complete response; requests that must run at most once are not repeated', async () => {
  const daemon = fleet.daemon('d1');
  const engine = fleet.engine('a1');
  await fleet.apply(daemon, 'begin; drain a2; drain a3; commit');
  const stall = { kind: 'stall', afterTokens: TOKENS_BEFORE_FAULT, forMs: STALL_MS };
  await fleet.backendFaults(engine, { faults: [stall, stall] });
  const ask = (streamed: boolean, headers = {}) =>
    sendModelRequest(daemon, { streamed, outputTokens: LONG_ANSWER_TOKENS, headers });
  const streamed = ask(true);
  const streamedOnce = ask(true, AT_MOST_ONCE);
  await Promise.all([streamed, streamedOnce].map((call) => call.received(TOKENS_BEFORE_FAULT)));
  const whole = ask(false);
  const wholeOnce = ask(false, AT_MOST_ONCE);
  const attempts = await eventually('all four requests to run on a1', async () => {
    const active = await activeAttempts(engine);
    return active.length === 4 ? active : null;
  });
  await fleet.apply(daemon, 'begin; return a2; return a3; commit');
  engine.process.signal('SIGKILL');

  assert.equal((await streamed.outcome).kind, 'finished', JSON.stringify(streamed.ended));
  assert.equal((await whole.outcome).kind, 'finished', JSON.stringify(whole.ended));
  assert.deepEqual(await streamedOnce.outcome, {
    kind: 'cut',
    detail: 'error in the stream: backend-broken',
  });
  assert.deepEqual(await wholeOnce.outcome, { kind: 'unknown', code: 'backend-broken' });
  const requests = attempts.map(requestOf);
  const elsewhere = (await attemptsElsewhere('a1')).map(requestOf);
  const again = [streamed, whole].map((call) => call.requestId);
  assert.deepEqual(new Set(elsewhere.filter((id) => requests.includes(id))), new Set(again));
  await fleet.parts.restartEngine('a1');
  await eventuallyTrue('a1 to be used again', async () => {
    const rows = await fleet.query(daemon, 'engines where granted = true and intake = "open"');
    return rows.length === ENGINES.length;
  });
});

function requestOf(attempt: string): string {
  return attempt.slice(0, attempt.lastIndexOf('.'));
}

/** Arms a fault twice on each engine, sends as many requests, and returns their calls once all have ended. */
async function streamsUnder(fault: object, streamed = true): Promise<RunningCall[]> {
  for (const engine of fleet.parts.engines) {
    await fleet.backendFaults(engine, { faults: [fault, fault] });
  }
  const calls = Array.from({ length: 2 * ENGINES.length }, (_, place) =>
    sendModelRequest(place % 2 === 0 ? fleet.daemon('d1') : fleet.daemon('d2'), {
      streamed,
      outputTokens: 6 * TOKENS_BEFORE_FAULT,
    }),
  );
  await Promise.all(calls.map((call) => call.outcome));
  return calls;
}

const afterTokens = TOKENS_BEFORE_FAULT;
const HARMLESS = [
  { kind: 'repeated-frame', afterTokens },
  { kind: 'foreign-frame', afterTokens },
  { kind: 'stall', afterTokens, forMs: 300 },
];
const BREAKING = [
  { kind: 'late-frame', afterTokens },
  { kind: 'early-close', afterTokens },
];

test('callers get complete responses in spite of repeated, foreign and delayed frames of an engine', async () => {
  for (const fault of HARMLESS) {
    for (const call of await streamsUnder(fault)) {
      assert.equal(call.ended?.kind, 'finished', `${fault.kind}: ${JSON.stringify(call.ended)}`);
    }
  }
});

test('a stream that an engine breaks is resumed exactly or ends visibly broken', async () => {
  for (const fault of BREAKING) {
    const calls = await streamsUnder(fault);
    const kinds = calls.map((call) => call.ended?.kind);
    const message = `${fault.kind}: ${JSON.stringify(calls.map((call) => call.ended))}`;
    assert.ok(kinds.includes('finished'), message);
    for (const kind of kinds) assert.ok(kind === 'finished' || kind === 'cut', message);
  }
});

test('the streams of an engine that crashes and restarts are resumed exactly', async () => {
  const engine = fleet.engine('a1');
  const crash = { kind: 'crash-in-stream', afterTokens, downMs: 200 };
  // Faults that earlier tests left armed would break streams as well.
  for (const other of fleet.parts.engines) {
    await fleet.backendFaults(other, { faults: other === engine ? [crash] : [], replace: true });
  }
  await eventuallyTrue('a stream to be lost in a crash of a1', async () => {
    const calls = Array.from({ length: ENGINES.length }, () =>
      sendModelRequest(fleet.daemon('d1'), {
        streamed: true,
        outputTokens: 3 * TOKENS_BEFORE_FAULT,
      }),
    );
    const outcomes = await Promise.all(calls.map((call) => call.outcome));
    for (const outcome of outcomes) {
      assert.equal(outcome.kind, 'finished', JSON.stringify(outcome));
    }
    return (await fleet.ledger(engine)).counts.lost > 0;
  });
});

test('a response whose length is wrong is never delivered as complete', async () => {
  for (const byBytes of [-7, 7]) {
    const calls = await streamsUnder({ kind: 'wrong-length', byBytes }, false);
    const message = `${byBytes}: ${JSON.stringify(calls.map((call) => call.ended))}`;
    for (const call of calls) assert.notEqual(call.ended?.kind, 'wrong', message);
    assert.ok(
      calls.some((call) => call.ended?.kind === 'finished'),
      message,
    );
  }
});
