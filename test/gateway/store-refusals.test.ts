/** The Retry-After time of the store's refusals reaches the caller of the table; over TCP. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import type { TableCall, TableResult } from '../../src/core/platform/table.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import { ServerStandIn } from './support/server-stand-in.js';

const CALLS: readonly TableCall[] = [
  { kind: 'get', keys: ['a'] },
  { kind: 'scan', prefix: 'a', after: undefined, limit: 1 },
  { kind: 'transact', checks: [], writes: [{ key: 'a', value: 1 }] },
];

let store: ServerStandIn;
let head: Record<string, string>;

beforeEach(async () => {
  head = {};
  store = new ServerStandIn(({ response }) => void response.writeHead(503, head).end());
  await store.start();
});

afterEach(() => store.stop());

function callStore(call: TableCall): Promise<TableResult> {
  const [host = '', port = ''] = store.address.split(':');
  const { table } = createPlatformAdapter(ANSWER_READING, { host, port: Number(port) });
  return table.call(call, new AbortController().signal);
}

async function retryAfterOf(call: TableCall): Promise<number | undefined> {
  const result = await callStore(call);
  return result.kind === 'unavailable' ? result.retryAfterMs : undefined;
}

for (const call of CALLS) {
  test(`a refused ${call.kind} reports after which time the store accepts a retry`, async () => {
    head = { 'Retry-After': '1.5' };
    assert.equal(await retryAfterOf(call), 1_500);
  });
}

for (const [retryAfter, expectedMs] of [
  [undefined, 0],
  ['0', 0],
  ['soon', 0],
  ['-2', 0],
  ['9999999999', 5_000],
] as const) {
  test(`a refusal with Retry-After ${retryAfter} reports a delay of ${expectedMs} ms`, async () => {
    if (retryAfter !== undefined) head = { 'Retry-After': retryAfter };
    assert.equal(await retryAfterOf({ kind: 'get', keys: ['a'] }), expectedMs);
  });
}
