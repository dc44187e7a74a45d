/** Guards against a status of the store that promises nothing and is taken for a promise that nothing was done. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import type { TableCall } from '../../src/core/platform/table.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import type { PlatformAdapter } from '../../src/shell/gateway/ports.js';
import { ServerStandIn, UNUSABLE_STATUSES } from './support/server-stand-in.js';

const WRITE: TableCall = {
  kind: 'transact',
  checks: [{ key: 'lease', version: 0 }],
  writes: [{ key: 'lease', value: { holder: 'front-1' } }],
};
const READ: TableCall = { kind: 'get', keys: ['lease'] };
const ROWS = '{"ver":7,"rows":[]}';
const REFUSING = ['429', '503'];

let store: ServerStandIn;
let adapter: PlatformAdapter;

beforeEach(async () => {
  store = new ServerStandIn(() => undefined);
  await store.start();
  const [host = '', port = ''] = store.address.split(':');
  adapter = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
});

afterEach(() => store.stop());

function answerWith(status: string): void {
  const head = `HTTP/1.1 ${status} OK\r\nContent-Type: application/json`;
  store.script = ({ socket }) =>
    void socket.end(`${head}\r\nContent-Length: ${ROWS.length}\r\n\r\n${ROWS}`);
}

const signal = () => new AbortController().signal;

for (const status of [...UNUSABLE_STATUSES, '500', '502']) {
  test(`a write that is answered with status ${status} may have been done, and a read has no rows`, async () => {
    answerWith(status);
    assert.equal((await adapter.table.call(WRITE, signal())).kind, 'lost');
    assert.equal((await adapter.table.call(READ, signal())).kind, 'unavailable');
    const rows = await adapter.servers.readAll(signal(), () => undefined);
    assert.equal(rows.kind, 'failed');
    assert.ok(rows.kind === 'failed' && !rows.wasRefused);
  });
}

for (const status of REFUSING) {
  test(`a write that is answered with status ${status} was not done`, async () => {
    answerWith(status);
    assert.equal((await adapter.table.call(WRITE, signal())).kind, 'unavailable');
  });
}
