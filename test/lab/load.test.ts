/** The outcomes of the load tool, against emulated backends and servers that corrupt answers. */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import type { Endpoint } from '../../src/core/registry/backend.js';
import { createEngineServer, expectedTokens } from '../../src/lab/engine/index.js';
import { Load, type LoadReport } from '../../src/lab/load/index.js';
import { createWebBackendServer } from '../../src/lab/web/index.js';
import { workloadSchema } from '../../src/lab/workload/index.js';

const LOOPBACK = { address: '127.0.0.1', port: 0 };
const OUTPUT_TOKENS = 4;
const cleanUps: (() => Promise<unknown>)[] = [];
after(async () => {
  for (const cleanUp of cleanUps) await cleanUp();
});

const MODEL_SOURCE = {
  kind: 'model',
  name: 'labels',
  model: 'labels',
  adapters: ['latin'],
  chatShare: 0.5,
  streamedShare: 0.5,
  promptTokens: { kind: 'fixed', value: 20 },
  outputTokens: { kind: 'fixed', value: OUTPUT_TOKENS },
};

function run(target: Endpoint, source: object, maxRetries = 0): Promise<LoadReport> {
  const phases = [{ name: 'only', durationMs: 40, rates: { labels: 1_000 } }];
  const workload = workloadSchema.parse({ name: 'test', sources: [source], phases });
  return new Load({ workload, targets: [target], maxRetries, finalTimeoutMs: 5_000 }).run();
}

type Handler = (request: IncomingMessage, body: string, response: ServerResponse) => void;

async function serve(handler: Handler): Promise<Endpoint> {
  const server: Server = createServer(async (request, response) => {
    let body = '';
    for await (const chunk of request) body += String(chunk);
    handler(request, body, response);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUps.push(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  return { address: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

/** The frames of a correct answer to a streamed completion. */
function correctFrames(body: string): string[] {
  const { prompt } = JSON.parse(body) as { prompt: string };
  const version = 'v1+v2';
  const source = { model: 'labels', adapter: 'latin', version, prompt, count: OUTPUT_TOKENS };
  const frame = (rest: object) =>
    `data: ${JSON.stringify({ system_fingerprint: version, ...rest })}\n\n`;
  return [
    ...expectedTokens(source).map((text) => frame({ choices: [{ text }] })),
    frame({ choices: [], usage: { completion_tokens: OUTPUT_TOKENS } }),
    'data: [DONE]\n\n',
  ];
}

const STREAMED = { ...MODEL_SOURCE, chatShare: 0, streamedShare: 1 };

async function outcomesOf(
  corrupt: (frames: string[]) => string[],
): Promise<LoadReport['outcomes']> {
  const target = await serve((_request, body, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.end(corrupt(correctFrames(body)).join(''));
  });
  const { outcomes, sent } = await run(target, STREAMED);
  assert.ok(sent > 10);
  return outcomes;
}

test('all answers of an emulated engine are finished: streamed or not, plain and chat', async () => {
  const engine = await createEngineServer({
    listen: LOOPBACK,
    name: 'e1',
    role: 'mixed',
    models: [{ model: 'labels', version: 'v1', adapters: [{ adapter: 'latin', version: 'v2' }] }],
    accelerator: 'new',
    seed: 1,
  });
  cleanUps.push(() => engine.close());
  const report = await run(engine.endpoint, MODEL_SOURCE);
  assert.ok(report.sent > 10);
  assert.equal(report.outcomes.finished, report.sent, JSON.stringify(report));
  assert.equal(report.betweenTokens.count, report.firstToken.count * (OUTPUT_TOKENS - 1));
});

test('the uncorrupted frames of the test server are accepted', async () => {
  const outcomes = await outcomesOf((frames) => frames);
  assert.ok(outcomes.finished > 10);
  assert.equal(outcomes.wrong + outcomes.cut + outcomes.refused + outcomes.unknown, 0);
});

test('a lost, duplicated, swapped or foreign token makes an answer wrong', async () => {
  const foreign = correctFrames(JSON.stringify({ prompt: 'another prompt' }));
  const corruptions: ((frames: string[]) => string[])[] = [
    (frames) => frames.toSpliced(1, 1),
    (frames) => frames.toSpliced(1, 0, frames[1] ?? ''),
    ([first = '', second = '', ...rest]) => [second, first, ...rest],
    (frames) => frames.toSpliced(2, 1, foreign[2] ?? ''),
    (frames) => frames.map((frame, n) => (n === 2 ? frame.replace('v1+v2', 'v1+v3') : frame)),
    (frames) => [...frames, frames[0] ?? ''],
    (frames) => frames.map((frame) => frame.replace('"system_fingerprint":"v1+v2",', '')),
    (frames) => frames.filter((frame) => !frame.includes('usage')),
  ];
  for (const corrupt of corruptions) {
    const outcomes = await outcomesOf(corrupt);
    assert.ok(outcomes.wrong > 10 && outcomes.finished === 0, `${corrupt}`);
  }
});

test('a stream that ends without [DONE] or contains an error frame is cut', async () => {
  const fault = 'data: {"error":{"code":"backend-broken"}}\n\n';
  for (const corrupt of [
    (frames: string[]) => frames.slice(0, -1),
    (frames: string[]) => [...frames.slice(0, 2), fault],
  ]) {
    const outcomes = await outcomesOf(corrupt);
    assert.ok(outcomes.cut > 10 && outcomes.finished === 0);
  }
});

test('refused, unknown and cut are distinguished; a caller retries after Retry-After', async () => {
  const seen = new Map<string, number>();
  const refusal = '{"error":{"code":"overloaded","outcome":"refused: not run"}}';
  const refusing = await serve((_request, body, response) => {
    seen.set(body, (seen.get(body) ?? 0) + 1);
    response.writeHead(503, { 'retry-after': '0' });
    response.end(refusal);
  });
  const refused = await run(refusing, MODEL_SOURCE, 1);
  assert.deepEqual(refused.codes, { overloaded: refused.sent });
  assert.equal(refused.retries, refused.sent);
  assert.ok([...seen.values()].every((times) => times === 2));
  const resetting = await serve((request) => request.socket.destroy());
  const reset = await run(resetting, MODEL_SOURCE);
  assert.equal(reset.outcomes.unknown, reset.sent);
  const breaking = await serve((_request, _body, response) => {
    response.writeHead(200, { 'content-length': '1000' });
    response.write('{', () => response.destroy());
  });
  const broken = await run(breaking, { ...MODEL_SOURCE, streamedShare: 0 });
  assert.equal(broken.outcomes.cut, broken.sent);
  const failing = await serve((_request, _body, response) => response.writeHead(500).end());
  const withoutOutcome = await run(failing, MODEL_SOURCE);
  assert.equal(withoutOutcome.outcomes.unknown, withoutOutcome.sent);
});

test('a request that the load itself aborts during the answer is unknown, not cut', async () => {
  const hanging = await serve((_request, _body, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(': waiting\n\n');
  });
  const phases = [{ name: 'only', durationMs: 40, rates: { labels: 1_000 } }];
  const workload = workloadSchema.parse({ name: 'test', sources: [STREAMED], phases });
  const options = { workload, targets: [hanging], maxRetries: 0, finalTimeoutMs: 50 };
  const report = await new Load(options).run();
  assert.deepEqual(report.codes, { 'caller-gave-up': report.sent });
  assert.equal(report.outcomes.cut, 0);
});

test('web reads and orders are checked; a second run of an order makes the answer wrong', async () => {
  const web = await createWebBackendServer({ listen: LOOPBACK, name: 'w1', serviceMs: 0 });
  cleanUps.push(() => web.close());
  const reads = { kind: 'web-read', name: 'labels', prefix: '/sheets/' };
  const orders = { kind: 'web-order', name: 'labels', path: '/orders/renewal' };
  const read = await run(web.endpoint, reads);
  assert.equal(read.outcomes.finished, read.sent);
  const first = await run(web.endpoint, orders);
  assert.equal(first.outcomes.finished, first.sent);
  const second = await run(web.endpoint, orders);
  assert.equal(second.outcomes.wrong, second.sent);
});
