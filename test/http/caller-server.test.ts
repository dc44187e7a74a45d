/** The model API and web routes over real HTTP, with the request table deciding. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prefixBlockHashes } from '../../src/core/common/prefix-blocks.js';
import {
  attemptOf,
  call,
  completionJson,
  dataOf,
  endFrames,
  startHarness,
  startHttpBackend,
  startRawBackend,
  streamedText,
  streamHead,
  tokenFrame,
} from './support.js';

const COMPLETION = { model: 'labels', prompt: 'read this label', max_tokens: 8 };

test('a whole completion reaches its caller with the engine headers set', async (t) => {
  let seen: Record<string, unknown> = {};
  const engine = await startHttpBackend('e1', (request, response) => {
    seen = request.headers;
    const body = completionJson('hortus');
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-threadfork-attempt': String(request.headers['x-threadfork-attempt']),
    });
    response.end(body);
  });
  const harness = await startHarness({ backends: [engine] });
  t.after(() => Promise.all([harness.close(), engine.close()]));
  const answer = await call(harness.port, '/v1/completions', { body: COMPLETION });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, completionJson('hortus'));
  assert.equal(seen['x-threadfork-attempt'], 'd1-1-1.1');
  assert.equal(seen['x-threadfork-priority'], '3');
  assert.equal(seen.authorization, undefined);
  const ended = harness.effects.find((effect) => effect.kind === 'request-ended');
  assert.deepEqual(
    ended?.kind === 'request-ended' && [ended.result, ended.promptTokens, ended.outputTokens],
    ['answered', 3, 2],
  );
});

for (const [path, body] of [
  ['/v1/completions', { ...COMPLETION, stream: true }],
  [
    '/v1/chat/completions',
    { model: 'latin', messages: [{ role: 'user', content: 'hi' }], stream: true },
  ],
] as const) {
  test(`a stream of ${path} comes in the caller's shape and ends with [DONE]`, async (t) => {
    const engine = await startRawBackend('e1', (socket, text) => {
      const attempt = attemptOf(text);
      socket.write(streamHead(attempt));
      socket.write(tokenFrame(attempt, 0, 'hortus '));
      socket.write(tokenFrame(attempt, 1, 'botanicus', true));
      socket.end(endFrames(attempt, 2));
    });
    const harness = await startHarness({ backends: [engine] });
    t.after(() => Promise.all([harness.close(), engine.close()]));
    const answer = await call(harness.port, path, { body });
    assert.equal(answer.broken, false);
    assert.equal(answer.headers['content-type'], 'text/event-stream');
    assert.equal(streamedText(answer.body), 'hortus botanicus');
    assert.ok(answer.body.endsWith('data: [DONE]\n\n'));
    const object = path.includes('chat') ? 'chat.completion.chunk' : 'text_completion';
    assert.deepEqual([...new Set(dataOf(answer.body).map((chunk) => chunk.object))], [object]);
    assert.equal(new Set(dataOf(answer.body).map((chunk) => chunk.id)).size, 1);
    assert.ok(!answer.body.includes('e-d1'), 'the engine id is not shown');
  });
}

test('a stream whose engine dies goes on at the first missing token on another', async (t) => {
  const offsets: number[] = [];
  const dying = await startRawBackend('e1', (socket, text) => {
    const attempt = attemptOf(text);
    const sent = streamHead(attempt) + tokenFrame(attempt, 0, 'a') + tokenFrame(attempt, 1, 'b');
    socket.write(sent, () => socket.destroy());
  });
  const healthy = await startRawBackend('e2', (socket, text) => {
    const attempt = attemptOf(text);
    offsets.push(Number(/x-threadfork-resume-offset: (\d+)/.exec(text)?.[1]));
    socket.write(streamHead(attempt) + tokenFrame(attempt, 2, 'c', true));
    socket.end(endFrames(attempt, 3));
  });
  const harness = await startHarness({ backends: [dying, healthy] });
  t.after(() => Promise.all([harness.close(), dying.close(), healthy.close()]));
  const body = { ...COMPLETION, stream: true, stream_options: { include_usage: true } };
  const answer = await call(harness.port, '/v1/completions', { body });
  assert.deepEqual(offsets, [2]);
  assert.equal(streamedText(answer.body), 'abc');
  assert.equal(new Set(dataOf(answer.body).map((chunk) => chunk.id)).size, 1);
  assert.ok(dataOf(answer.body).at(-1)?.usage);
  assert.ok(answer.body.endsWith('data: [DONE]\n\n'));
});

test('a stream that none can go on with ends visibly broken', async (t) => {
  const dying = await startRawBackend('e1', (socket, text) => {
    const attempt = attemptOf(text);
    socket.write(streamHead(attempt) + tokenFrame(attempt, 0, 'a'), () => socket.destroy());
  });
  const harness = await startHarness({ backends: [dying] });
  t.after(() => Promise.all([harness.close(), dying.close()]));
  const body = { ...COMPLETION, stream: true };
  const answer = await call(harness.port, '/v1/completions', { body });
  assert.equal(answer.broken, true);
  assert.equal(dataOf(answer.body).at(-1)?.error?.outcome, 'unknown');
  assert.ok(!answer.body.includes('[DONE]'));
});

test('web requests go by the longest prefix, without hop-by-hop headers', async (t) => {
  let seen: Record<string, unknown> = {};
  const web = await startHttpBackend('w1', (request, response) => {
    seen = { ...request.headers, url: request.url };
    response.writeHead(201, { 'x-sheet': '7', connection: 'x-secret', 'x-secret': '1' });
    response.end('tile');
  });
  const services: string[] = [];
  const harness = await startHarness({
    backends: [web],
    choose: (description) => {
      if (description.target.kind === 'web') services.push(description.target.service);
      return null;
    },
  });
  t.after(() => Promise.all([harness.close(), web.close()]));
  const headers = { connection: 'close, x-hop', 'x-hop': '1', 'x-kept': '1' };
  const answer = await call(harness.port, '/sheets/orders/1?z=2', { headers });
  assert.equal(answer.status, 201);
  assert.equal(answer.body, 'tile');
  assert.equal(answer.headers['x-sheet'], '7');
  assert.equal(answer.headers['x-secret'], undefined);
  assert.equal(seen.url, '/sheets/orders/1?z=2');
  assert.equal(seen['x-kept'], '1');
  assert.equal(seen['x-hop'], undefined);
  assert.equal(seen.authorization, undefined);
  assert.equal(seen.via, '1.1 threadfork');
  assert.equal((await call(harness.port, '/sheetsandmore')).status, 404);
  assert.deepEqual(services, ['orders']);
});

test('pages and typed errors', async (t) => {
  const harness = await startHarness();
  t.after(() => harness.close());
  const { port } = harness;
  const models = JSON.parse((await call(port, '/v1/models')).body) as { data: { id: string }[] };
  assert.deepEqual(models.data.map((model) => model.id).sort(), ['labels', 'latin']);
  assert.equal((await call(port, '/healthz')).status, 200);
  assert.equal((await call(port, '/readyz')).status, 200);
  assert.equal((await call(port, '/metrics')).body, 'up 1\n');
  const unkeyed = await call(port, '/v1/models', { headers: { authorization: 'Bearer nope' } });
  assert.equal(unkeyed.status, 401);
  const refused = await call(port, '/v1/completions', { body: COMPLETION });
  assert.equal(refused.status, 503);
  assert.equal(refused.headers['retry-after'], '1');
  assert.equal(refused.headers['x-request-id'], 'd1-1-1');
  assert.deepEqual(JSON.parse(refused.body).error, {
    message: 'None is left.',
    type: 'server_error',
    code: 'no-backend',
    param: null,
    retryable: true,
    outcome: 'refused: not run',
  });
  const unknown = await call(port, '/v1/completions', { body: { ...COMPLETION, model: 'x' } });
  assert.equal(unknown.status, 404);
  assert.equal((await call(port, '/v1/completions')).status, 405);
});

test('before any configuration a web path is refused as not configured, not as unknown', async (t) => {
  const harness = await startHarness({ configurationVersion: 0 });
  t.after(() => harness.close());
  const answer = await call(harness.port, '/tiles/1');
  assert.equal(answer.status, 503);
  assert.equal(JSON.parse(answer.body).error.code, 'not-configured');
  assert.equal(answer.headers['retry-after'], '1');
});

test('answers without a body, and targets that name the host, pass through', async (t) => {
  const seen: string[] = [];
  const web = await startHttpBackend('w1', (request, response) => {
    seen.push(`${request.method} ${request.url}`);
    if (request.url === '/sheets/304') response.writeHead(304, { etag: '"1"' }).end();
    else if (request.url === '/sheets/204') response.writeHead(204).end();
    else response.writeHead(200, { 'content-length': '12' }).end('twelve bytes');
  });
  const harness = await startHarness({ backends: [web], anonymous: true });
  t.after(() => Promise.all([harness.close(), web.close()]));
  const head = await call(harness.port, '/sheets/1', { method: 'HEAD' });
  assert.deepEqual([head.status, head.headers['content-length'], head.body], [200, '12', '']);
  const unchanged = await call(harness.port, '/sheets/304');
  assert.deepEqual([unchanged.status, unchanged.headers.etag], [304, '"1"']);
  assert.equal((await call(harness.port, '/sheets/204')).status, 204);
  const absolute = await call(harness.port, 'http://somewhere:8/sheets/2?q');
  assert.deepEqual([absolute.status, absolute.body], [200, 'twelve bytes']);
  assert.equal(seen.at(-1), 'GET /sheets/2?q');
});

test('prompts are hashed as engines hash them, chats too', async (t) => {
  const harness = await startHarness();
  t.after(() => harness.close());
  const contents = ['Lees dit etiket. '.repeat(40), 'Leiden 1821 '.repeat(40)];
  const messages = contents.map((content) => ({ role: 'user', content }));
  await call(harness.port, '/v1/chat/completions', { body: { model: 'labels', messages } });
  const event = harness.events[0];
  const target = event?.kind === 'request-arrived' ? event.description.target : undefined;
  const prompt = contents.join('\n');
  assert.deepEqual(target?.kind === 'model' && [target.prefixHashes, target.promptTokens], [
    prefixBlockHashes(prompt, 32),
    Math.ceil(prompt.length / 4),
  ]);
});
