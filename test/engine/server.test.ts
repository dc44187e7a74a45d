/** The emulated engine over HTTP: answers, cancellation, aborts, back-pressure and injected faults. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import { type Dispatcher, request } from 'undici';
import type { EngineFault } from '../../src/lab/engine/http/faults.js';
import type { LedgerPage } from '../../src/lab/engine/http/ledger.js';
import { type EngineServer, expectedTokens } from '../../src/lab/engine/index.js';
import { LABELS, orderOf, startEngine, TO_DECODE } from './fixtures.js';

const PROMPT = 'Herbarium sheet 17, collected near Leiden';
/** `LONG_ANSWER` frames of this size are 8 MB, more than the socket buffers between an engine and a client that does not read. */
const FRAME_BYTES = 16_384;
const LONG_ANSWER = 500;
let engine: EngineServer;

before(async () => {
  engine = await startEngine();
});

after(() => engine.close());

function expected(count: number): string[] {
  return expectedTokens({ model: 'labels', version: 'v1', adapter: null, prompt: PROMPT, count });
}

function url(path: string): string {
  return `http://127.0.0.1:${engine.endpoint.port}${path}`;
}

function post(path: string, body: unknown, headers: Record<string, string> = {}) {
  return request(url(path), { method: 'POST', body: JSON.stringify(body), headers });
}

function complete(attempt: string, maxTokens: number, stream = true) {
  const body = { model: 'labels', prompt: PROMPT, max_tokens: maxTokens, stream };
  return post('/v1/completions', body, { 'x-threadfork-attempt': attempt });
}

async function arm(...faults: EngineFault[]): Promise<void> {
  const answer = await post('/faults', { faults });
  assert.equal(answer.statusCode, 200, await answer.body.text());
}

/** The frames of a stream, and whether its connection was aborted. */
async function frames(answer: Dispatcher.ResponseData) {
  let text = '';
  let broken = false;
  try {
    for await (const chunk of answer.body) text += String(chunk);
  } catch {
    broken = true;
  }
  return { frames: text.split('\n\n').filter((frame) => frame !== ''), broken };
}

function offsetOf(frame: string): string {
  return /^id: (.*)\n/.exec(frame)?.[1] ?? frame;
}

async function outcomeOf(attempt: string): Promise<string | undefined> {
  const page = (await (await request(url('/ledger'))).body.json()) as LedgerPage;
  return page.entries.find((entry) => entry.attempt === attempt)?.outcome;
}

function rawPost(path: string, body: string): string {
  const length = Buffer.byteLength(body);
  return `POST ${path} HTTP/1.1\r\nhost: engine\r\nconnection: close\r\ncontent-length: ${length}\r\n\r\n${body}`;
}

/** Waits for a state of the model instead of a fixed time, so that a slow machine does not fail the test. */
async function until(reached: () => boolean): Promise<void> {
  while (!reached()) await turn();
}

test('a complete answer contains exactly the expected text', async () => {
  const answer = await complete('w1', 12, false);
  const body = (await answer.body.json()) as { choices: { text: string }[]; usage: unknown };
  assert.equal(answer.headers['x-threadfork-attempt'], 'w1');
  assert.equal(body.choices[0]?.text, expected(12).join(''));
  assert.deepEqual(body.usage, { prompt_tokens: 11, completion_tokens: 12, total_tokens: 23 });
});

test('a stream resumed at an offset returns exactly the tail, in frames with attempt and offset', async () => {
  const answer = await post(
    '/v1/chat/completions',
    { model: 'labels', messages: [{ role: 'user', content: PROMPT }], max_tokens: 9, stream: true },
    { 'x-threadfork-attempt': 'r1.2', 'x-threadfork-resume-offset': '4' },
  );
  const read = await frames(answer);
  assert.equal(read.frames.pop(), 'data: [DONE]');
  assert.match(read.frames.pop() ?? '', /^id: r1.2:9\n.*"completion_tokens":9/);
  const texts = read.frames.map((frame, index) => {
    assert.equal(offsetOf(frame), `r1.2:${index + 4}`);
    const data = JSON.parse(frame.split('data: ')[1] ?? '');
    assert.equal(data.choices[0].finish_reason, index === 4 ? 'length' : null);
    assert.equal(data.system_fingerprint, 'v1');
    return data.choices[0].delta.content as string;
  });
  assert.deepEqual(texts, expected(9).slice(4));
});

test('a refusal reports that nothing was run', async () => {
  const cases: [unknown, Record<string, string>, number, string][] = [
    [{ model: 'labels' }, {}, 400, 'invalid-request'],
    [{ model: 'labels', prompt: PROMPT, max_tokens: 1e9 }, {}, 400, 'invalid-request'],
    [{ model: 'other', prompt: PROMPT }, {}, 404, 'model-not-loaded'],
    [
      { model: 'labels', prompt: PROMPT },
      { 'x-threadfork-version': 'v0' },
      404,
      'model-not-loaded',
    ],
    [{ model: 'labels', prompt: PROMPT }, { 'x-threadfork-kv-handle': 'no' }, 404, 'kv-gone'],
    [
      { model: 'labels', prompt: PROMPT },
      { 'x-threadfork-priority': '10' },
      400,
      'invalid-request',
    ],
  ];
  for (const [body, headers, status, code] of cases) {
    const answer = await post('/v1/completions', body, headers);
    const refusal = (await answer.body.json()) as { error: { code: string }; notRun: boolean };
    assert.deepEqual([answer.statusCode, refusal.error.code, refusal.notRun], [status, code, true]);
  }
});

test('a request to a full waiting queue is refused with a retry-after header', async (context) => {
  const ownEngine = await startEngine({ maxQueue: 0 });
  context.after(() => ownEngine.close());
  const answer = await request(`http://127.0.0.1:${ownEngine.endpoint.port}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ model: 'labels', prompt: PROMPT }),
  });
  const refusal = (await answer.body.json()) as { error: { code: string }; notRun: boolean };
  assert.deepEqual(
    [answer.statusCode, refusal.error.code, refusal.notRun],
    [429, 'engine-full', true],
  );
  assert.match(String(answer.headers['retry-after']), /^[1-9][0-9]*$/);
});

test('KV is prefilled on one engine and imported by another, which generates the answer', async (context) => {
  const prefillEngine = await startEngine({ name: 'engine-2', role: 'prefill' });
  context.after(() => prefillEngine.close());
  const prefilled = await request(`http://127.0.0.1:${prefillEngine.endpoint.port}/v1/prefill`, {
    method: 'POST',
    body: JSON.stringify({ model: 'labels', prompt: PROMPT }),
  });
  const { kvHandle } = (await prefilled.body.json()) as { kvHandle: string };
  const imported = await post('/control/kv/import', { source: prefillEngine.endpoint, kvHandle });
  const importedKv = (await imported.body.json()) as { kvHandle: string };
  await prefillEngine.close();
  const body = { model: 'labels', prompt: PROMPT, max_tokens: 4 };
  const answer = await post('/v1/completions', body, {
    'x-threadfork-kv-handle': importedKv.kvHandle,
  });
  const completion = (await answer.body.json()) as { choices: { text: string }[] };
  assert.equal(completion.choices[0]?.text, expected(4).join(''));
  const lost = await post('/control/kv/import', { source: prefillEngine.endpoint, kvHandle });
  assert.equal(lost.statusCode, 404);
  await lost.body.dump();
});

test('closing the connection and calling cancel each cancel the request and free the engine', async () => {
  const closed = await complete('gone', 100_000);
  closed.body.destroy();
  const called = await complete('called', 100_000);
  const cancel = await post('/control/cancel', { attempt: 'called' });
  assert.deepEqual(await cancel.body.json(), { cancelled: true });
  assert.equal((await frames(called)).broken, true);
  await until(() => engine.model.activeRequests === 0);
  assert.deepEqual(
    [await outcomeOf('gone'), await outcomeOf('called')],
    ['cancelled', 'cancelled'],
  );
});

test('a client that stops reading pauses only its own stream and receives it completely later', {
  timeout: 20_000,
}, async (context) => {
  const model = 'm'.repeat(FRAME_BYTES);
  const models = [{ ...LABELS, model }];
  const ownEngine = await startEngine({ models, speedFactor: 1_000 });
  context.after(() => ownEngine.close());
  const body = { model, prompt: PROMPT, max_tokens: LONG_ANSWER, stream: true };
  const slowClient = connect(ownEngine.endpoint.port, '127.0.0.1').pause();
  slowClient.write(rawPost('/v1/completions', JSON.stringify(body)));
  await until(() => ownEngine.model.activeRequests === 1);
  // Both requests run in the same batch, so without the pause the first would end before the second.
  const other = await request(`http://127.0.0.1:${ownEngine.endpoint.port}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ ...body, stream: false }),
  });
  await other.body.dump();
  assert.equal(ownEngine.model.activeRequests, 1);
  let read = '';
  for await (const chunk of slowClient) read += String(chunk);
  assert.equal(read.match(/^id: /gm)?.length, LONG_ANSWER + 1);
  assert.ok(read.endsWith('data: [DONE]\n\n\r\n0\r\n\r\n'));
});

test('a role change without onlyIfIdle aborts running requests', async (context) => {
  const ownEngine = await startEngine();
  context.after(() => ownEngine.close());
  const answer = await request(`http://127.0.0.1:${ownEngine.endpoint.port}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ model: 'labels', prompt: PROMPT, max_tokens: 100_000, stream: true }),
  });
  const order = orderOf(ownEngine.model.boot, 1, TO_DECODE);
  const accepted = await request(`http://127.0.0.1:${ownEngine.endpoint.port}/control/orders`, {
    method: 'POST',
    body: JSON.stringify(order),
  });
  assert.deepEqual(await accepted.body.json(), { kind: 'accepted', state: 'running' });
  assert.equal((await frames(answer)).broken, true);
});

test('injected faults delay, repeat or insert frames, stall a stream or end it early', async () => {
  const offsets = async (attempt: string): Promise<string[]> =>
    (await frames(await complete(attempt, 3))).frames.map(offsetOf);
  await arm({ kind: 'late-frame', afterTokens: 1 }, { kind: 'repeated-frame', afterTokens: 1 });
  assert.deepEqual(await offsets('f'), ['f:0', 'f:2', 'f:1', 'f:3', 'data: [DONE]']);
  assert.deepEqual(await offsets('f'), ['f:0', 'f:1', 'f:1', 'f:2', 'f:3', 'data: [DONE]']);
  await arm({ kind: 'foreign-frame', afterTokens: 0 }, { kind: 'early-close', afterTokens: 2 });
  assert.deepEqual((await offsets('f')).slice(0, 2), ['foreign-f:0', 'f:0']);
  assert.deepEqual(await offsets('f'), ['f:0', 'f:1']);
  await arm({ kind: 'stall', afterTokens: 1, forMs: 30 });
  const startedAt = performance.now();
  assert.deepEqual(await offsets('f'), ['f:0', 'f:1', 'f:2', 'f:3', 'data: [DONE]']);
  assert.ok(performance.now() - startedAt >= 29);
});

test('an injected wrong content-length makes the answer unreadable', async () => {
  await arm({ kind: 'wrong-length', byBytes: 7 });
  const answer = await complete('short', 3, false);
  await assert.rejects(answer.body.text());
});

test('a crash drops connections; the new boot has the start-up role and no orders', async () => {
  const boot = engine.model.boot;
  await arm({ kind: 'crash-in-stream', afterTokens: 3, downMs: 10 });
  const restart = engine.restarted();
  const read = await frames(await complete('crashed', 100));
  assert.equal(read.broken, true);
  assert.ok(read.frames.length <= 3);
  await restart;
  assert.notEqual(engine.model.boot, boot);
  assert.equal(await outcomeOf('crashed'), 'lost');
  await arm({ kind: 'crash-in-order', downMs: 10 });
  const order = orderOf(engine.model.boot, 1, TO_DECODE);
  const crashed = engine.restarted();
  await (await post('/control/orders', order)).body.dump();
  await crashed;
  const report = engine.model.report(performance.now());
  assert.deepEqual([report.role, report.fence, report.busy], ['mixed', null, false]);
  assert.equal(engine.model.orderState(performance.now(), order.id), 'unknown');
  const counts = (await (await request(url('/ledger'))).body.json()) as LedgerPage;
  assert.equal(counts.counts.active, 0);
});

/**
 * Guards against a fleet test that timed out after 45 s waiting for an injected crash, in one of four runs.
 * A stream that two other engines had aborted was resumed here with its last 10 of 30 tokens. It consumed
 * the injected crash, which takes effect at the eleventh token, ended normally, and the crash never
 * happened. A fault that an answer is too short for must stay for the next answer.
 */
test('a fault that an answer is too short for applies to the next answer', async () => {
  await arm({ kind: 'early-close', afterTokens: 10 });
  const short = await frames(await complete('short', 10));
  assert.equal(short.frames.at(-1), 'data: [DONE]');
  const next = await frames(await complete('next', 20));
  assert.equal(next.frames.length, 10);
  assert.notEqual(next.frames.at(-1), 'data: [DONE]');
});

/**
 * Guards against a fleet test that timed out after 45 s waiting for the work of a killed daemon to be
 * cancelled, once, on a machine with a load of 18 on 8 cores. The injected stall only held back the output
 * while generation continued: 250 ms after the tenth token all 50 were `finished` in the engine's ledger.
 * If the test took longer than that to kill the daemon, nothing was left to cancel.
 */
test('generation does not continue while an answer is stalled', async () => {
  await arm({ kind: 'stall', afterTokens: 2, forMs: 600_000 });
  const stalled = await complete('stalled', 20);
  const read = frames(stalled);
  const otherAnswer = await frames(await complete('beside', 40));
  assert.equal(otherAnswer.frames.at(-1), 'data: [DONE]');
  assert.equal(await outcomeOf('stalled'), 'active');
  await post('/control/cancel', { attempt: 'stalled' });
  assert.ok((await read).broken);
});
