/** The operator API over TCP: calls, tokens and malformed or slow requests. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, test } from 'node:test';
import { request } from 'undici';
import type { LogEffect } from '../../src/core/logging/log-event.js';
import { createOperatorServer } from '../../src/shell/operator/index.js';
import { CHANGE_TOKEN, digestOf, READ_TOKEN, StubBackend, startStub } from './stub-backend.js';

const logged: LogEffect[] = [];
const backend = new StubBackend();
const limits = { bodyBytes: 2_000 };
const { server, address } = await startStub(backend, {
  limits,
  log: (effect) => logged.push(effect),
});
// Only the tests of slow requests use a short timeout, so that other tests do not time out on a busy machine.
const shortTimeout = await startStub(backend, { limits: { requestTimeoutMs: 100 } });
after(() => Promise.all([server.close(), shortTimeout.server.close()]));

interface CallOptions {
  readonly token?: string;
  readonly headers?: Record<string, string>;
  readonly to?: string;
}

// biome-ignore lint/suspicious/noExplicitAny: the tests read answers of different shapes
type AnyAnswer = { readonly status: number; readonly body: any };

async function call(path: string, body: unknown, options: CallOptions = {}): Promise<AnyAnswer> {
  const answer = await request(`http://${options.to ?? address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      'content-type': 'application/json',
      ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` }),
      ...options.headers,
    },
    body: body === undefined ? null : typeof body === 'string' ? body : JSON.stringify(body),
  });
  return { status: answer.statusCode, body: await answer.body.json() };
}

/** Sends raw bytes; resolves to everything received until the connection is closed. */
function exchange(bytes: string, to = address): Promise<string> {
  const [host, port] = to.split(':');
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect(Number(port), host, () => socket.write(bytes));
    socket.on('data', (data) => {
      answer += data.toString();
    });
    socket.on('error', () => resolve(answer));
    socket.on('close', () => resolve(answer));
  });
}

test('a query is answered with its rows and the fields in their order', async () => {
  const text = 'engines where running > 0 select zone, name';
  const { status, body } = await call('/v1/query', { text }, { token: READ_TOKEN });
  assert.equal(status, 200);
  assert.deepEqual(body, {
    table: 'engines',
    fields: ['zone', 'name'],
    rows: [{ zone: 'leiden-a', name: 'e1' }],
  });
  const wrong = await call('/v1/query', { text: 'drain e1' }, { token: CHANGE_TOKEN });
  assert.match(wrong.body.error.message, /nothing was changed. Use threadfork apply/);
});

test('every outcome of a change has its own kind and status', async () => {
  const token = CHANGE_TOKEN;
  const applied = await call('/v1/commands', { text: 'drain e1', id: 'c1' }, { token });
  assert.deepEqual(applied, {
    status: 200,
    body: { kind: 'applied', id: 'c1', version: 1, inForce: 4 },
  });
  const conflict = await call('/v1/commands', { text: 'drain e2 if version 0' }, { token });
  assert.deepEqual([conflict.status, conflict.body.kind], [409, 'refused']);
  assert.equal(conflict.body.currentVersion, 1);
  const conflictingVersions = { text: 'drain e2 if version 0', ifVersion: 1 };
  assert.match(
    (await call('/v1/commands', conflictingVersions, { token })).body.fault.message,
    /State one of them/,
  );
  backend.override = () => Promise.reject(new Error('broken'));
  const unknown = await call('/v1/commands', { text: 'drain e2', id: 'c2' }, { token });
  backend.override = null;
  assert.deepEqual([unknown.status, unknown.body.kind, unknown.body.id], [202, 'unknown', 'c2']);
});

test('a document is validated before it reaches the backend', async () => {
  const requestCount = backend.requests.length;
  const document = { tenants: { t: { class: 'nowhere' } } };
  const refused = await call('/v1/commands', { document }, { token: CHANGE_TOKEN });
  assert.equal(refused.body.kind, 'refused');
  assert.equal(backend.requests.length, requestCount);
  const dryRunBody = { document: {}, dryRun: true };
  assert.equal(
    (await call('/v1/commands', dryRunBody, { token: CHANGE_TOKEN })).body.kind,
    'dry-run',
  );
});

test('a missing or unknown token is refused, and a read-only token changes nothing', async () => {
  const text = { text: 'drain e9' };
  const requestCount = backend.requests.length;
  assert.equal((await call('/v1/status', undefined)).status, 401);
  assert.equal((await call('/v1/status', undefined, { token: 'wrong' })).status, 401);
  assert.equal((await call('/v1/status', undefined, { token: digestOf(READ_TOKEN) })).status, 401);
  const forbidden = await call('/v1/commands', text, { token: READ_TOKEN });
  assert.deepEqual([forbidden.status, forbidden.body.fault.code], [403, 'forbidden']);
  assert.equal(backend.requests.length, requestCount);
  const dryRunAnswer = await call(
    '/v1/commands',
    { text: 'dry run drain e9' },
    { token: READ_TOKEN },
  );
  assert.equal(dryRunAnswer.body.kind, 'dry-run');
  assert.equal(backend.requests.at(-1)?.operator, 'curator');
  const configurationPath = '/v1/configuration';
  assert.equal((await call(configurationPath, undefined, { token: READ_TOKEN })).status, 403);
  assert.equal((await call(configurationPath, undefined, { token: CHANGE_TOKEN })).status, 200);
  assert.equal((await call('/healthz', undefined)).status, 200);
  assert.ok(!JSON.stringify(logged).includes(CHANGE_TOKEN));
  assert.ok(logged.some((effect) => effect.event.number === 5002));
});

test('a call without a token is accepted on loopback only if allowed, and never from a web page', async () => {
  const open = await startStub(backend, { allowUnauthenticatedLoopback: true });
  const to = open.address;
  assert.equal((await call('/v1/status', undefined, { to })).status, 200);
  assert.equal((await call('/v1/status', undefined, { to, token: 'wrong' })).status, 401);
  const crossOriginHeaders = { origin: 'http://example.org' };
  assert.equal(
    (await call('/v1/status', undefined, { to, headers: crossOriginHeaders })).status,
    403,
  );
  const reboundHostHeaders = { host: 'example.org:80' };
  assert.equal(
    (await call('/v1/status', undefined, { to, headers: reboundHostHeaders })).status,
    403,
  );
  await open.server.close();
});

test('a host name as address, or no token on an address other than loopback, is refused', () => {
  const settings = { tokens: [], allowUnauthenticatedLoopback: true, backend };
  const everywhere = { ...settings, listen: { address: '0.0.0.0', port: 0 } };
  assert.match(createOperatorServer(everywhere)._unsafeUnwrapErr().message, /no token/);
  const named = { ...settings, listen: { address: 'localhost', port: 0 } };
  assert.match(createOperatorServer(named)._unsafeUnwrapErr().message, /not an IP number/);
});

for (const [what, path, body, headers, status] of [
  ['broken JSON', '/v1/query', '{"text":', {}, 400],
  ['a wrong type', '/v1/query', { text: 3 }, {}, 400],
  ['an unknown key', '/v1/query', { text: 'engines', sql: 1 }, {}, 400],
  ['text and document', '/v1/commands', { text: 'drain a', document: {} }, {}, 400],
  ['an id with a slash', '/v1/commands', { text: 'drain a', id: '../x' }, {}, 400],
  ['another content type', '/v1/query', { text: 'engines' }, { 'content-type': 'text/plain' }, 400],
  ['a large body', '/v1/query', { text: 'x'.repeat(3_000) }, {}, 413],
  ['an unknown call', '/v1/nothing', {}, {}, 404],
  ['a wrong method', '/v1/query', undefined, {}, 405],
  ['an engine without id', '/v1/explain', { subject: 'engine' }, {}, 400],
] as const) {
  test(`refused with a typed error: ${what}`, async () => {
    const answer = await call(path, body, { token: CHANGE_TOKEN, headers });
    assert.equal(answer.status, status);
    assert.equal((answer.body.error ?? answer.body.fault).outcome, 'refused-not-run');
  });
}

const HEAD = `POST /v1/query HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${READ_TOKEN}\r\n`;
for (const [what, bytes, expected] of [
  [
    'two lengths',
    `${HEAD}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    /^HTTP\/1.1 400 .*"invalid-request"/s,
  ],
  [
    'large headers',
    `GET / HTTP/1.1\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
    /^HTTP\/1.1 431 .*"headers-too-large"/s,
  ],
  ['no HTTP', '\u0016\u0003\u0001 hello\r\n\r\n', /^HTTP\/1.1 400 /],
] as const) {
  test(`closed with a typed error: ${what}`, async () => {
    assert.match(await exchange(bytes), expected);
  });
}

for (const [what, bytes] of [
  ['head', 'GET /v1/status HTTP/1.1\r\nhos'],
  ['body', `${HEAD}content-type: application/json\r\ncontent-length: 90\r\n\r\n{`],
] as const) {
  test(`closed with a typed error: a slow ${what}`, async () => {
    const answer = await exchange(bytes, shortTimeout.address);
    assert.match(answer, /^HTTP\/1.1 408 .*"body-timeout"/s);
  });
}

test('closing the server waits for a running call', async () => {
  const ownStub = await startStub(backend);
  let release: () => void = () => undefined;
  const running = new Promise<void>((resolve) => {
    backend.override = (change) => {
      resolve();
      return new Promise((settle) => {
        release = () => settle({ kind: 'applied', id: change.id, version: 9, inForce: 1 });
      });
    };
  });
  const answer = call(
    '/v1/commands',
    { text: 'drain e5' },
    { token: CHANGE_TOKEN, to: ownStub.address },
  );
  await running;
  const closed = ownStub.server.close();
  release();
  backend.override = null;
  assert.equal((await answer).body.version, 9);
  await closed;
});
