/** When a daemon takes itself to be cut off from the servers of a service. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ServicePaths } from '../../src/core/gateway/index.js';

const SERVICE = 'viewer';

let paths: ServicePaths;

beforeEach(() => {
  paths = new ServicePaths();
});

function fail(serverId: string, readyServers: number, nowMs = 0): boolean {
  return paths.recordFailure({ service: SERVICE, serverId, readyServers }, nowMs);
}

test('three servers in a row that accept no connection show that the path is lost, once', () => {
  assert.deepEqual(
    ['i-1', 'i-2', 'i-3', 'i-4'].map((id) => fail(id, 8)),
    [false, false, true, false],
  );
  assert.equal(paths.isLost(SERVICE), true);
  assert.deepEqual(paths.lost, [SERVICE]);
});

test('one server that fails again and again does not', () => {
  for (let tries = 0; tries < 9; tries += 1) fail('i-1', 8);
  assert.equal(paths.isLost(SERVICE), false);
});

test('a service with fewer servers needs all of them to fail', () => {
  assert.equal(fail('i-1', 2), false);
  assert.equal(fail('i-2', 2), true);
});

test('a connection in between shows that there is a path', () => {
  fail('i-1', 8);
  fail('i-2', 8);
  assert.equal(paths.recordConnected(SERVICE, 0), undefined);
  assert.equal(fail('i-3', 8), false);
});

test('failures long apart are not taken together', () => {
  fail('i-1', 8, 0);
  fail('i-2', 8, 1_500);
  assert.equal(fail('i-3', 8, 3_000), false);
});

test('a connection to one service shows nothing of another', () => {
  for (const id of ['i-1', 'i-2', 'i-3']) fail(id, 8);
  paths.recordConnected('reader', 100);
  assert.equal(paths.isLost(SERVICE), true);
});

test('the path is regained with the first connection, which tells for how long it was lost', () => {
  for (const id of ['i-1', 'i-2', 'i-3']) fail(id, 8, 100);
  assert.equal(paths.recordConnected(SERVICE, 700), 600);
  assert.equal(paths.isLost(SERVICE), false);
});
