/** Explanation of a request from log lines, and the `trace` command that reads them from files. */
import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { explainRequest, type LogLine, mayExplain } from '../../src/core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { runThreadfork } from '../cli/harness.js';

const ID = '30810d6088c643ac';
const END = { elapsedMs: 640, configurationVersion: 8, runs: 1 };

function line(event: LogEvent, timeMs: number, fields: LogFields, source = 'a'): LogLine {
  return { source, timeMs, event: event.number, message: event.message, fields };
}

const PLAN = line(GATEWAY_EVENTS.planChosen, 1_000, {
  request: ID,
  way: 'prefill',
  server: 'reader',
  expectedMs: 126,
  promptLength: 4_719,
  missing: 4_719,
  fetchFrom: '',
});

test('for a late stream, the explanation names the step that took longer than expected and its engine', () => {
  const end = line(GATEWAY_EVENTS.requestEnded, 1_640, {
    ...END,
    request: ID,
    outcome: 'answered',
    status: 200,
    server: 'generator',
    prefillMs: 615,
    firstEventMs: 630,
  });
  const { isFound, sentences } = explainRequest([end, PLAN], ID);
  assert.equal(isFound, true);
  assert.deepEqual(sentences, [
    'Ended after 640 ms, under configuration 8: answered, status 200 from generator.',
    'Its first event came after 630 ms: 615 ms until the prompt was read, then 15 ms.',
    'Planned a separate prefill at reader: 4719 of 4719 tokens not cached, 126 ms expected.',
    'That is 504 ms more than expected: work at reader that this daemon did not know of, or a slow engine.',
  ]);
});

test('for a refused request, the explanation names each failed attempt and failures of other requests at that server', () => {
  const attempt = { server: 's1', zone: 'z', step: 'run', result: 'not-sent', status: 0 };
  const seen = { reason: 'connecting took too long', elapsedMs: 220, failureRate: 0.4 };
  const own = line(GATEWAY_EVENTS.attemptFailed, 1_000, { ...attempt, ...seen, request: ID });
  const others = ['b', 'c'].map((source) =>
    line(GATEWAY_EVENTS.attemptFailed, 1_100, { ...attempt, ...seen, request: 'x' }, source),
  );
  const end = line(GATEWAY_EVENTS.requestRefused, 1_230, {
    ...END,
    request: ID,
    reason: 'connecting took too long',
  });
  const { sentences, context } = explainRequest([own, end, ...others], ID);
  assert.match(sentences[0] ?? '', /^Refused after 640 ms.*has not run\.$/);
  assert.match(sentences[1] ?? '', /^Running at s1 \(z\) failed after 220 ms: not-sent/);
  assert.equal(sentences[2], '2 other attempts at s1 failed around that time, at 2 daemons.');
  assert.equal(context.length, 2);
});

test('for a request refused for lack of capacity, the explanation states its wait, the queue and the retry time', () => {
  const own = { request: ID, sumsAgeMs: 80 };
  const waits = line(GATEWAY_EVENTS.requestWaits, 1_000, { ...own, behind: 2, roomInMs: 60 });
  const away = line(GATEWAY_EVENTS.requestTurnedAway, 1_090, {
    ...own,
    reason: 'no room came',
    waitedMs: 90,
    retryAfterMs: 300,
  });
  assert.deepEqual(explainRequest([waits, away], ID).sentences.slice(1), [
    'It was held at the daemon behind 2 requests of its route: free capacity was expected in 60 ms, by load reports 80 ms old.',
    'Refused for lack of capacity (no room came) after 90 ms, by load reports 80 ms old; its caller was told to retry after 300 ms.',
  ]);
});

test('a configuration change at the same daemon shortly before a failure is named, one at another daemon is not', () => {
  const changed = line(GATEWAY_EVENTS.configurationInForce, 900, { configurationVersion: 8 });
  const elsewhere = line(GATEWAY_EVENTS.configurationInForce, 900, {}, 'b');
  const longAgo = line(GATEWAY_EVENTS.watchLost, -60_000, {});
  const end = line(GATEWAY_EVENTS.requestFailed, 1_640, {
    ...END,
    request: ID,
    reason: 'out of time',
  });
  const { sentences, context } = explainRequest([changed, elsewhere, longAgo, end], ID);
  assert.deepEqual(context, [changed]);
  assert.deepEqual(sentences, [
    'Failed after 640 ms, under configuration 8: out of time; sent to 1 servers, so it may have run.',
    'Its daemon, 740 ms before its end: configuration in force.',
  ]);
});

test('for an unknown request id, the explanation says so and how many log lines were dropped', () => {
  const dropped = line(GATEWAY_EVENTS.linesDropped, 900, { lines: 12 });
  const { isFound, sentences } = explainRequest([dropped], ID);
  assert.equal(isFound, false);
  assert.match(sentences[1] ?? '', /^12 lines were dropped by the log rate limit/);
});

test('the command reads log files, takes a prefix of a line as the daemon name and skips other text', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'threadfork-trace-'));
  const file = join(folder, 'a.log');
  const fields = { ...END, request: ID, reason: 'out of time' };
  const { number: event, message: msg } = GATEWAY_EVENTS.requestFailed;
  const text = JSON.stringify({ level: 'warn', time: 1_640, event, ...fields, msg });
  await writeFile(file, `no line\n{"half":\n  12.5 front-b-1 ${text}\n`);
  const found = await runThreadfork(['trace', ID, file]);
  const asJson = await runThreadfork(['trace', ID, file, '--json']);
  const unknown = await runThreadfork(['trace', 'other', file]);
  const missing = await runThreadfork(['trace', ID, join(folder, 'none.log')]);
  await rm(folder, { recursive: true });
  assert.equal(found.code, 0);
  assert.match(found.stdout, /^Failed after 640 ms/);
  assert.match(found.stdout, /front-b-1 +6032/);
  assert.equal(JSON.parse(asJson.stdout).ownLines[0].source, 'front-b-1');
  assert.equal(unknown.code, 1);
  assert.equal(missing.code, 2);
  assert.match(missing.stderr, /name the logs of the gateways/);
});

test('the explanation of a stream tells where it began, and what became of the attempts that took it up', () => {
  const recorded = line(GATEWAY_EVENTS.streamRecorded, 1_000, {
    request: ID,
    stream: ID,
    server: 's1',
    softwareVersion: 'v2',
    sentTo: 'd2 d3',
    stored: 2,
    tookMs: 3,
  });
  const resumption = { request: 'later', stream: ID, tookMs: 2 };
  const goesOn = line(GATEWAY_EVENTS.streamResumption, 1_400, {
    ...resumption,
    outcome: 'continue',
    softwareVersion: 'v2',
    source: 'record of a peer',
  });
  const rejected = line(GATEWAY_EVENTS.streamResumption, 1_900, {
    ...resumption,
    request: 'last',
    outcome: 'reject',
    reason: 'its software version is not known',
  });
  assert.ok([recorded, goesOn, rejected].every((logged) => mayExplain(logged, ID)));
  assert.deepEqual(explainRequest([recorded, goesOn, rejected], ID).sentences.slice(1), [
    'Its first event came from software version v2 (s1); 2 of d2 d3 confirmed that within 3 ms.',
    'Its stream was taken up by later at a: goes on at software version v2, by record of a peer.',
    'Its stream was taken up by last at a: rejected, as its software version is not known.',
  ]);
  assert.deepEqual(explainRequest([goesOn], 'later').sentences.slice(1), [
    `It takes up the stream ${ID}: goes on at software version v2, by record of a peer.`,
  ]);
});

test('for a request to a server that drains, the explanation tells how long its daemon knew, and from whom', () => {
  const sent = line(GATEWAY_EVENTS.sentToDeparting, 1_000, {
    request: ID,
    server: 'reader',
    purpose: 'run',
    state: 'draining',
    source: 'relay',
    learnedAgoMs: 400,
    changedWithinMs: 900,
    era: 0,
    revision: 7,
  });
  const { sentences } = explainRequest([sent], ID);
  assert.equal(
    sentences.at(-1),
    'It was sent to reader, listed as draining for at most 900 ms; its daemon had known that for 400 ms, from the relay.',
  );
});
