/** The platform client against the stand-in and against hostile servers, over real TCP. */
import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { createServer, type Server, type Socket } from 'node:net';
import { after, test } from 'node:test';
import type { TableCall } from '../../src/core/platform/table.js';
import {
  createPlatformServer,
  DEFAULT_PLATFORM_OPTIONS,
  type PlatformServer,
} from '../../src/lab/platform/index.js';
import {
  HttpConnectionPool,
  MAX_CONNECTIONS,
} from '../../src/shell/platform/http-connection-pool.js';
import { createPlatformClient, type PlatformClient } from '../../src/shell/platform/index.js';

const LOOPBACK = { address: '127.0.0.1', port: 0 };
const PUT_A: TableCall = {
  kind: 'transact',
  checks: [{ key: 'a', version: 0 }],
  writes: [{ key: 'a', value: { n: 1 } }],
};
const GET_A: TableCall = { kind: 'get', keys: ['a'] };

const cleanUps: (() => Promise<void>)[] = [];
after(async () => {
  for (const cleanUp of cleanUps.reverse()) await cleanUp();
});

function client(port: number, timeoutMs = 5_000): PlatformClient {
  const opened = createPlatformClient({ address: '127.0.0.1', port, timeoutMs });
  cleanUps.push(() => opened.close());
  return opened;
}

async function standIn(options = DEFAULT_PLATFORM_OPTIONS): Promise<PlatformServer> {
  const server = await createPlatformServer(LOOPBACK, options);
  cleanUps.push(() => server.close());
  return server;
}

async function rawServer(onSocket: (socket: Socket) => void): Promise<number> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanUps.push(async () => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });
  return (server.address() as AddressInfo).port;
}

function httpAnswer(status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

test('a transaction commits once and a second one with the same check conflicts', async () => {
  const { port } = await standIn();
  const platform = client(port);
  const row = { key: 'a', version: 1, value: { n: 1 } };
  assert.deepEqual(await platform.table(PUT_A), { kind: 'committed', rows: [row] });
  assert.deepEqual(await platform.table(PUT_A), { kind: 'conflict', rows: [row] });
  const scan = { kind: 'scan', prefix: '', limit: 10 } as const;
  assert.deepEqual(await platform.table(scan), { kind: 'rows', rows: [row] });
  const rest = await platform.table({ ...scan, after: 'a' });
  assert.deepEqual(rest, { kind: 'rows', rows: [] });
});

test('a lost answer is reported as lost and reading back shows that the write took effect', async () => {
  const { port, model } = await standIn();
  const platform = client(port);
  model.setFaults({ table: { loseAnswers: { kind: 'next', calls: 1 }, writesOnly: true } });
  assert.equal((await platform.table(PUT_A)).kind, 'lost');
  const read = await platform.table(GET_A);
  assert.deepEqual(read, { kind: 'rows', rows: [{ key: 'a', version: 1, value: { n: 1 } }] });
});

test('a lost call is reported as lost and reading back shows that nothing was written', async () => {
  const { port, model } = await standIn();
  const platform = client(port);
  model.setFaults({ table: { loseCalls: { kind: 'next', calls: 1 } } });
  assert.equal((await platform.table(PUT_A)).kind, 'lost');
  const read = await platform.table(GET_A);
  assert.deepEqual(read, { kind: 'rows', rows: [{ key: 'a', version: 0, value: null }] });
});

test('a write whose answer is slower than the timeout is lost, and took effect', async () => {
  const { port, model } = await standIn();
  const platform = client(port, 100);
  model.setFaults({ table: { slowAnswerMs: 60_000 } });
  assert.equal((await platform.table(PUT_A)).kind, 'lost');
  assert.equal(model.table.get(['a'])[0]?.version, 1);
});

test('down, over the rate and refused connections are unavailable: nothing was done', async () => {
  const limits = { ...DEFAULT_PLATFORM_OPTIONS.limits, table: { perSecond: 0.5, burst: 1 } };
  const { port, model } = await standIn({ limits, machineLagMs: 0 });
  const platform = client(port);
  model.setFaults({ table: { down: true } });
  const whileDown = await platform.table(PUT_A);
  assert.ok(whileDown.kind === 'unavailable' && whileDown.retryAfterMs === 500);
  model.setFaults({ table: { down: false } });
  assert.equal((await platform.table(PUT_A)).kind, 'committed');
  const overRate = await platform.table(PUT_A);
  assert.ok(overRate.kind === 'unavailable' && overRate.retryAfterMs > 1_000);
  const closedServer = await createPlatformServer(LOOPBACK);
  await closedServer.close();
  assert.equal((await client(closedServer.port).table(PUT_A)).kind, 'unavailable');
});

test('a call that waited in vain for a connection was not sent and is never sent later', async () => {
  const sockets: Socket[] = [];
  let received = '';
  const requestsReceived = (): number => received.split('GET /get').length - 1;
  let allOccupied = (): void => {};
  const occupied = new Promise<void>((resolve) => {
    allOccupied = resolve;
  });
  const port = await rawServer((socket) => {
    sockets.push(socket);
    socket.on('data', (chunk) => {
      received += chunk.toString();
      if (requestsReceived() === MAX_CONNECTIONS) allOccupied();
    });
  });
  const options = { address: '127.0.0.1', port, timeoutMs: 60_000 };
  const connections = new HttpConnectionPool(options);
  cleanUps.push(() => connections.close());
  const get = { method: 'GET', path: '/get' } as const;
  const occupying = Array.from({ length: MAX_CONNECTIONS }, () => connections.exchange(get));
  await occupied;
  const waiting = await connections.exchange({ method: 'POST', path: '/late', body: '{}' }, 50);
  assert.equal(waiting.kind, 'not-sent');
  for (const socket of sockets) socket.write(httpAnswer('200 OK', '{}'));
  assert.ok((await Promise.all(occupying)).every(({ kind }) => kind === 'answered'));
  const next = connections.exchange(get);
  for (const socket of sockets) socket.on('data', () => socket.write(httpAnswer('200 OK', '{}')));
  assert.equal((await next).kind, 'answered');
  assert.equal(requestsReceived(), MAX_CONNECTIONS + 1);
  assert.equal(received.includes('/late'), false);
});

test('answers that are cut, malformed or contradictory are lost', async () => {
  const answers = [
    '',
    'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{"committed":true',
    httpAnswer('200 OK', 'not json'),
    httpAnswer('200 OK', '{"committed":true,"rows":[{"key":"a","version":"1","value":1}]}'),
    httpAnswer('200 OK', '{"committed":false,"rows":[]}'),
    httpAnswer('500 Internal Server Error', '{}'),
  ];
  for (const answer of answers) {
    const port = await rawServer((socket) => {
      socket.once('data', () => socket.end(answer));
    });
    const result = await client(port).table(PUT_A);
    assert.equal(result.kind, 'lost', answer);
  }
});

test('objects are written once; weights and machines are read', async () => {
  const server = await standIn({ ...DEFAULT_PLATFORM_OPTIONS, machineLagMs: 0 });
  const platform = client(server.port);
  const content = Buffer.from('content');
  assert.ok((await platform.putObject('config/7', content)).isOk());
  assert.ok((await platform.putObject('config/7', content)).isOk());
  const other = await platform.putObject('config/7', Buffer.from('other'));
  assert.equal(other._unsafeUnwrapErr().code, 'version-conflict');
  const read = (await platform.getObject('config/7'))._unsafeUnwrap();
  assert.deepEqual(Buffer.from(read ?? []), content);
  assert.equal((await platform.getObject('none'))._unsafeUnwrap(), null);
  const weight = { model: 'labels', version: 'v1', adapter: 'latin' };
  assert.equal((await platform.weightExists(weight))._unsafeUnwrap(), false);
  server.model.weights.add(weight, 1);
  assert.equal((await platform.weightExists(weight))._unsafeUnwrap(), true);
  const machine = {
    kind: 'web',
    name: 'viewer-1',
    zone: 'leiden-a',
    state: 'live',
    address: '127.0.0.1',
    port: 1,
    service: 'viewer',
  } as const;
  const added = await fetch(`http://127.0.0.1:${server.port}/machines`, {
    method: 'POST',
    body: JSON.stringify({ machine }),
  });
  assert.equal(added.status, 200);
  const listed = (await platform.machines())._unsafeUnwrap().machines;
  assert.deepEqual(listed, [machine]);
  const again = (await platform.machines())._unsafeUnwrap().machines;
  assert.equal(again, listed, 'an unchanged list is not sent again');
  server.model.machines.put({ ...machine, state: 'leaving' }, 0);
  const [changed] = (await platform.machines())._unsafeUnwrap().machines;
  assert.equal(changed?.state, 'leaving');
});

test('faults are set over HTTP while the platform runs', async () => {
  const { port } = await standIn();
  const platform = client(port);
  const set = (faults: unknown) =>
    fetch(`http://127.0.0.1:${port}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  assert.equal((await set({ table: { down: true } })).status, 200);
  assert.equal((await set({ objects: { slowMs: 1 } })).status, 200);
  assert.equal((await platform.table(GET_A)).kind, 'unavailable');
  assert.equal((await set({ table: { donw: true } })).status, 400);
  assert.equal((await set({ table: { down: false } })).status, 200);
  assert.equal((await platform.table(GET_A)).kind, 'rows');
});
