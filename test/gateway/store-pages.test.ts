/** Full reads of a table of the platform's store that take several pages. */
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import { ServerStandIn } from './support/server-stand-in.js';

let store: ServerStandIn;

afterEach(() => store.stop());

/** Reads from a store that answers each page in the given era. */
async function readPages(eras: readonly number[]) {
  let page = 0;
  store = new ServerStandIn(({ response }) => {
    const rows = [{ table: 'servers', privateKey: `i-${page}`, value: '', ver: page + 1 }];
    const body = JSON.stringify({ rows, more: page < eras.length - 1, ver: 10 - page });
    response.writeHead(200, { 'Store-Era': String(eras[page]) }).end(body);
    page += 1;
  });
  await store.start();
  const [host = '', port = ''] = store.address.split(':');
  const { servers } = createPlatformAdapter({ host, port: Number(port) });
  return servers.readAll(new AbortController().signal);
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
