/** The emulated web backend: tiles, runs counted by request key, shutdown. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import { createWebBackendServer, tileContent } from '../../src/lab/web/index.js';
import { LOOPBACK } from './fixtures.js';

test('tiles depend only on their path, each run is counted by its request key, and a leaving backend is unhealthy', async (context) => {
  const backend = await createWebBackendServer({ listen: LOOPBACK, name: 'web-1', tileBytes: 100 });
  context.after(() => backend.close());
  const base = `http://127.0.0.1:${backend.endpoint.port}`;
  const order = (key: string) =>
    request(`${base}/renewals`, { method: 'POST', headers: { 'x-request-key': key }, body: '{}' });
  const arm = async (kind: string): Promise<void> => {
    const body = JSON.stringify({ kind });
    await (await request(`${base}/faults`, { method: 'POST', body })).body.dump();
  };
  const tile = await (await request(`${base}/tiles/1/2.png`)).body.text();
  assert.equal(tile, tileContent('/tiles/1/2.png', 100).toString());
  assert.notEqual(tile, tileContent('/tiles/1/3.png', 100).toString());
  await (await order('once')).body.dump();
  await arm('break-before-run');
  await assert.rejects(order('never'));
  await arm('break-after-run');
  await assert.rejects(order('twice'));
  await (await order('twice')).body.dump();
  const ledger = (await (await request(`${base}/ledger`)).body.json()) as { keys: unknown[] };
  const runs = [...ledger.keys];
  assert.deepEqual(runs, [
    { key: 'once', path: '/renewals', runs: 1 },
    { key: 'twice', path: '/renewals', runs: 2 },
  ]);
  assert.equal((await request(`${base}/healthz`)).statusCode, 200);
  backend.leave();
  const leaving = await request(`${base}/healthz`);
  assert.deepEqual([leaving.statusCode, leaving.headers.connection], [503, 'close']);
});
