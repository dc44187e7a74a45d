/** Answers of the platform that are cut at any byte: none may pass for an empty list, a missing row or a success. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import type { PlatformAdapter } from '../../src/shell/gateway/index.js';

const SERVER = { service: 'viewer', address: '127.0.0.1:1', zone: 'a', slots: 6, state: 'ready' };
const VALUE = Buffer.from(JSON.stringify({ ...SERVER, sequence: 1 })).toString('base64');
const ROWS = [{ table: 'servers', part: '', privateKey: 'v-1', value: VALUE, ver: 7 }];
const BODY = JSON.stringify({ rows: ROWS, more: false, ver: 7, now_ms: 1 });
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n';
/** Whole answers, by what marks their end. */
const FRAMINGS: Readonly<Record<string, string>> = {
  'a length': `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  'a close': `${HEAD}\r\n${BODY}`,
  'a close, after an interim answer': `HTTP/1.1 103 Early Hints\r\n\r\n${HEAD}\r\n${BODY}`,
};
const ENDINGS = ['closes', 'resets'] as const;
const NEVER = new AbortController().signal;

let server: Server;
let sockets: Socket[];
let sent = '';
let ending: (typeof ENDINGS)[number] = 'closes';
let platform: PlatformAdapter;

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => cut(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  platform = createPlatformAdapter(ANSWER_READING, address, address);
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

function cut(socket: Socket): void {
  socket.write(sent, 'latin1', () => {
    if (ending === 'closes') socket.end();
    else setImmediate(() => socket.resetAndDestroy());
  });
}

/** The kinds of what the calls make of an answer. */
async function kinds(): Promise<readonly string[]> {
  const { servers, table, duties } = platform;
  const key = 'lease/usage';
  const results = [
    await servers.readAll(NEVER, () => undefined),
    await servers.changesAfter(3, 1_000, NEVER),
    await table.call({ kind: 'get', keys: [key] }, NEVER),
    await table.call({ kind: 'scan', prefix: 'crash/', limit: 10 }, NEVER),
    await table.call({ kind: 'transact', checks: [], writes: [{ key, value: 1 }] }, NEVER),
    await duties?.reportUsage({ window: 1, counts: {} }, { holder: 'a', fence: 1 }, NEVER),
  ];
  return results.map((result) => result?.kind ?? 'none');
}

const CUT_OFF = ['failed', 'failed', 'unavailable', 'unavailable', 'lost'];

for (const [name, whole] of Object.entries(FRAMINGS)) {
  // Guards against servers that go, leases that look free and reports that look taken, as an answer was cut.
  test(`an answer that ends with ${name} and is cut at any byte tells nothing`, async () => {
    const headEnd = whole.lastIndexOf('\r\n\r\n', whole.indexOf(BODY)) + 4;
    for (ending of ENDINGS) {
      for (let end = 0; end < whole.length; end += end < headEnd + 20 ? 1 : 29) {
        sent = whole.slice(0, end);
        const found = await kinds();
        assert.deepEqual(found.slice(0, CUT_OFF.length), CUT_OFF, `${end} ${ending}`);
        if (end < headEnd) assert.equal(found.at(-1), 'lost', `${end} ${ending}`);
      }
    }
    ending = 'closes';
    sent = whole;
    assert.deepEqual(await kinds(), ['rows', 'rows', 'rows', 'rows', 'committed', 'accepted']);
  });
}
