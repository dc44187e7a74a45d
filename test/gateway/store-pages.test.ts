/** Full reads of a table of the platform's store that take several pages. */

import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import { TABLES } from '../../platform/names.js';
import type { TableCall } from '../../src/core/platform/table.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import { callTable, readAllRows } from '../../src/shell/gateway/table-call.js';
import { SYSTEM_TIMERS } from '../../src/shell/gateway/timer-service.js';
import { ServerStandIn } from './support/server-stand-in.js';
import { StoreStandIn } from './support/store-stand-in.js';

/** As long as the store accepts. */
const LONG_VALUE = Buffer.alloc(65_536, 'x');
/** More long rows than a page of the store holds. */
const LONG_ROWS = 40;

let store: Pick<ServerStandIn, 'stop'>;

afterEach(() => store.stop());

/** The product's table with many long rows of another writer under a prefix, and others. */
async function tableWithLongRows(prefix: string, others: Readonly<Record<string, unknown>>) {
  const standIn = new StoreStandIn();
  store = standIn;
  const rows = Array.from({ length: LONG_ROWS }, (_, index) => `${prefix}${index}`);
  standIn.putAll(
    TABLES.product,
    rows.map((key) => [key, LONG_VALUE] as const),
  );
  for (const [key, value] of Object.entries(others)) standIn.put(TABLES.product, key, value);
  const { host, port } = await standIn.start();
  return createPlatformAdapter(ANSWER_READING, { host, port }).table;
}

/** Reads from a store that answers each page in the given era. */
async function readPages(eras: readonly number[]) {
  let page = 0;
  const server = new ServerStandIn(({ response }) => {
    const rows = [{ table: 'servers', privateKey: `i-${page}`, value: '', ver: page + 1 }];
    const body = JSON.stringify({ rows, more: page < eras.length - 1, ver: 10 - page });
    response.writeHead(200, { 'Store-Era': String(eras[page]) }).end(body);
    page += 1;
  });
  store = server;
  await server.start();
  const [host = '', port = ''] = server.address.split(':');
  const { servers } = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
  return servers.readAll(new AbortController().signal, () => undefined);
}

test('a read whose pages are of one era has the revision of the first page', async () => {
  const answer = await readPages([3, 3, 3]);
  assert.ok(answer.kind === 'rows');
  assert.deepEqual([answer.rows.length, answer.era, answer.revision], [3, 3, 10]);
});

// Otherwise rows of the restored copy would be mixed with rows that the copy lacks.
test('a read during which the store was restored from a copy fails', async () => {
  const answer = await readPages([3, 4]);
  assert.ok(answer.kind === 'failed');
  assert.equal(answer.era, 4);
});

// Guards against a list of daemons without those whose rows come after long ones of another writer.
test('all rows of a prefix are read where the store cuts its pages by their size', async () => {
  const table = await tableWithLongRows('peer/odd-', { 'peer/z-1': 1, 'peer/z-2': 2, usage: 3 });
  const { signal } = new AbortController();
  const rows = await readAllRows(
    'peer/',
    (page) => table.call(page, signal),
    ({ key, value }) => [[key, value]],
  );
  assert.equal(rows?.length, LONG_ROWS + 2);
  assert.deepEqual(rows?.slice(-2), [
    ['peer/z-1', 1],
    ['peer/z-2', 2],
  ]);
});

// Guards against a lease that seems to be free, as its row comes after long ones of another writer.
test('rows are read by their keys however many long rows lie between them', async () => {
  const table = await tableWithLongRows('extra/', { 'epoch/stage': 1, 'lease/stage': 2 });
  const keys = ['lease/stage', 'epoch/stage'];
  const access = { table, timers: SYSTEM_TIMERS };
  const result = await callTable(access, { kind: 'get', keys }, undefined);
  assert.ok(result.kind === 'rows');
  assert.deepEqual(
    result.rows.map(({ key, value }) => [key, value]),
    [
      ['lease/stage', 2],
      ['epoch/stage', 1],
    ],
  );
});

// Guards against a server that is no longer used because another part of the table has a row with its key.
test('rows of other parts of the table are no changes of the list', async () => {
  const server = new ServerStandIn(({ response }) => {
    const row = { table: TABLES.servers, privateKey: 'i-1', gone: true };
    const rows = [
      { ...row, part: 'other', ver: 5 },
      { ...row, part: '', privateKey: 'i-2', ver: 6 },
    ];
    response.end(JSON.stringify({ rows, more: false, ver: 6 }));
  });
  store = server;
  await server.start();
  const [host = '', port = ''] = server.address.split(':');
  const { servers } = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
  const answer = await servers.changesAfter(4, 0, new AbortController().signal);
  assert.ok(answer.kind === 'rows');
  assert.deepEqual(answer.rows, [{ kind: 'gone', key: 'i-2' }]);
  assert.equal(answer.revision, 6);
});

// Guards against a process whose heap fills as an answer is parsed into many objects.
test('an answer with more values than rows that are applied at once have is too long', async () => {
  const server = new ServerStandIn(({ response }) => {
    const row = '{"table":"servers","privateKey":"i-1","gone":true,"ver":2}';
    const rows = Array(20_000).fill(row).join(',');
    response.writeHead(200, { 'Store-Era': '3' }).end(`{"rows":[${rows}],"ver":2}`);
  });
  store = server;
  await server.start();
  const [host = '', port = ''] = server.address.split(':');
  const { servers } = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
  const answer = await servers.changesAfter(1, 0, new AbortController().signal);
  assert.deepEqual(answer, { kind: 'too-long', era: 3 });
});

// Guards against reads that go on without end, and keep all that they have read.
test('a read whose pages repeat fails', async () => {
  const signal = new AbortController().signal;
  let pages = 0;
  const server = new ServerStandIn(({ response }) => {
    pages += 1;
    const row = { table: 'servers', privateKey: 'peer/1', value: 'e30=', ver: 1 };
    response.writeHead(200).end(JSON.stringify({ rows: [row], more: pages < 100, ver: 9 }));
  });
  store = server;
  await server.start();
  const [host = '', port = ''] = server.address.split(':');
  const adapter = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
  const answer = await adapter.servers.readAll(signal, () => undefined);
  assert.deepEqual([answer.kind, pages], ['failed', 2]);
  pages = 0;
  const callPage = (page: TableCall) => adapter.table.call(page, signal);
  const rows = await readAllRows('peer/', callPage, ({ key }) => [key]);
  assert.deepEqual([rows, pages], [undefined, 2]);
});
