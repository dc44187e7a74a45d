/** API keys and tenants: how a request's tenant is found, and what servers, callers and the log get to see of it. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { type Tenant, TenantTable } from '../../src/core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering, engine, type ServerStandIn } from './support/server-stand-in.js';

const OLD_KEY = 'key-of-leiden-1';
const NEW_KEY = 'key-of-leiden-2';
const LEIDEN = { name: 'leiden', apiKeys: [OLD_KEY] };
const OPEN = route({ name: 'open', pathPrefix: '/open/', public: true });
const READ = route({ name: 'read', pathPrefix: '/read/', kind: 'streaming', service: 'reader' });
const ROUTES = [route({}), OPEN, READ];

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function startWith(tenants: readonly unknown[] | undefined): Promise<ServerStandIn> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, ROUTES, tenants));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  const server = await fixture.addServer('i-1', answering(200, 'sheet'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === 'i-1');
  return server;
}

test('a server is sent the tenant and never the key, whatever headers the caller sends', async () => {
  const server = await startWith([LEIDEN]);
  const headers = { 'aPI-kEY': OLD_KEY, 'X-TENANT': 'delft', 'x-Custom': 'kept' };
  const answer = await fixture.call({ path: '/tiles/1', headers });
  assert.equal(answer.status, 200);
  assert.equal(server.seen[0]?.headers['x-tenant'], 'leiden');
  assert.equal(server.seen[0]?.headers['api-key'], undefined);
  assert.equal(server.seen[0]?.headers['x-custom'], 'kept');
  assert.ok(!JSON.stringify(fixture.lines).includes(OLD_KEY));
});

for (const [name, sent] of [
  ['Dvořák', 'Dvořák'],
  ['Société', 'Société'],
  ['two\nlines', 'two%0Alines'],
] as const) {
  // Guards against the end of the daemon by each request of a tenant whose name is beyond latin1.
  test(`a server is sent the name ${JSON.stringify(name)} of a tenant in UTF-8`, async () => {
    const server = await startWith([{ name, apiKeys: [OLD_KEY] }]);
    const answer = await fixture.call({ path: '/tiles/1', headers: { 'Api-Key': OLD_KEY } });
    assert.equal(answer.status, 200);
    const received = Buffer.from(String(server.seen[0]?.headers['x-tenant']), 'latin1');
    assert.equal(received.toString('utf8'), sent);
  });
}

test('the prefill engine and the decode engine of a request are both sent the tenant', async () => {
  await startWith([LEIDEN]);
  const traits = { service: 'reader', slots: 8, models: [] };
  const reader = await fixture.addServer('e-1', engine(3), { ...traits, stage: 'prefill' });
  const writer = await fixture.addServer('e-2', engine(3), { ...traits, stage: 'decode' });
  await fixture.logged(GATEWAY_EVENTS.serverAdded, (fields) => fields.server === 'e-2');
  const headers = {
    'Api-Key': OLD_KEY,
    'X-Token-Count': '20000,3',
    'X-Prompt-Prefix': 'aa:15000,bb:5000',
  };
  const answer = await fixture.call({ path: '/read/1', headers });
  assert.equal(answer.status, 200);
  const sent = [...reader.seen, ...writer.seen].filter(({ url }) => url === '/read/1');
  assert.ok(sent.some((seen) => seen.headers['x-stage'] === 'prefill'));
  for (const seen of sent) assert.equal(seen.headers['x-tenant'], 'leiden');
});

for (const [name, headers] of [
  ['no key', {}],
  ['an unknown key', { 'Api-Key': 'key-of-nobody' }],
  ['an empty key', { 'Api-Key': '' }],
  ['more than a key in the header', { 'Api-Key': `${OLD_KEY}, ${OLD_KEY}` }],
  ['a very long key', { 'Api-Key': 'k'.repeat(8_000) }],
] as const) {
  test(`a request with ${name} is refused at once and reaches no server`, async () => {
    const server = await startWith([LEIDEN]);
    const answer = await fixture.call({ path: '/tiles/1', headers });
    assert.equal(answer.status, 401);
    assert.equal(server.seen.length, 0);
    const line = fixture.lines.find(({ event }) => event === GATEWAY_EVENTS.keyUnknown);
    assert.equal(line?.fields.request, 'attempt-1');
    assert.ok(String(line?.fields.keyDigest).length <= 8);
  });
}

test('a request with two API key headers is refused', async () => {
  const server = await startWith([LEIDEN]);
  const raw = await fixture.callRaw([
    'POST /tiles/1 HTTP/1.1',
    'Host: labels.example',
    'X-Attempt-Id: attempt-2',
    `Api-Key: ${OLD_KEY}`,
    `Api-Key: ${OLD_KEY}`,
    'Content-Length: 0',
  ]);
  assert.match(raw, /^HTTP\/1\.1 401 /);
  assert.equal(server.seen.length, 0);
});

test('a public route accepts a request with an unknown key, and does not forward the key', async () => {
  const server = await startWith([LEIDEN]);
  const answer = await fixture.call({ path: '/open/1', headers: { 'Api-Key': 'key-of-nobody' } });
  assert.equal(answer.status, 200);
  assert.equal(server.seen[0]?.headers['x-tenant'], undefined);
  assert.equal(server.seen[0]?.headers['api-key'], undefined);
});

test('without tenants no request needs a key, and a tenant header of the caller is dropped', async () => {
  const server = await startWith(undefined);
  const answer = await fixture.call({ path: '/tiles/1', headers: { 'X-Tenant': 'delft' } });
  assert.equal(answer.status, 200);
  assert.equal(server.seen[0]?.headers['x-tenant'], undefined);
});

test('a new configuration version with other keys applies to the requests after it', async () => {
  await startWith([LEIDEN]);
  const call = (key: string) => fixture.call({ path: '/tiles/1', headers: { 'Api-Key': key } });
  assert.equal((await call(NEW_KEY)).status, 401);
  const changed = [{ ...LEIDEN, apiKeys: [NEW_KEY] }];
  fixture.store.putConfiguration(configuration(2, ROUTES, changed));
  await fixture.logged(
    GATEWAY_EVENTS.configurationInForce,
    (fields) => fields.configurationVersion === 2,
  );
  assert.equal((await call(OLD_KEY)).status, 401);
  assert.equal((await call(NEW_KEY)).status, 200);
});

test('a key that two tenants have is logged, and identifies the first of them', async () => {
  const server = await startWith([LEIDEN, { name: 'delft', apiKeys: [OLD_KEY, NEW_KEY] }]);
  await fixture.logged(GATEWAY_EVENTS.keysShared, (fields) => fields.sharedKeys === 1);
  await fixture.call({ path: '/tiles/1', headers: { 'Api-Key': OLD_KEY } });
  assert.equal(server.seen[0]?.headers['x-tenant'], 'leiden');
});

test('a request ranks by the priority of its tenant, then by that of its route', () => {
  const tenant = (name: string, priority?: number): Tenant => ({ name, apiKeys: [name], priority });
  const first = tenant('first', 2);
  const second = tenant('second', 7);
  const last = tenant('last');
  const routes = [0, 2].map((priority) => ({ priority }));
  const table = new TenantTable([second, last, first], routes);
  const ranks = [first, second, last].flatMap((whose) =>
    routes.map((each) => table.rankOf(whose, each)),
  );
  assert.deepEqual(ranks, [0, 2, 3, 5, 6, 8]);
  const alike = new TenantTable([tenant('a', 3), tenant('b', 3)], routes);
  assert.equal(alike.rankOf(tenant('a', 3), { priority: 2 }), 2);
});
