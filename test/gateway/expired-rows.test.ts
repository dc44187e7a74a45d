/** Guards against servers without a row that stay in use for longer than running servers need to write their rows again. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ExpiredRows, REWRITTEN_MS, ServerDirectory } from '../../src/core/gateway/index.js';
import { SERVER } from './support/server-record.js';

let directory: ServerDirectory;
let expired: ExpiredRows;

beforeEach(() => {
  directory = new ServerDirectory();
  directory.apply([SERVER], []);
  expired = new ExpiredRows();
});

test('further returns of the store do not extend the use of a server without a row', () => {
  expired.begin(0);
  assert.deepEqual(expired.keep([SERVER.id], directory, 100).all, [SERVER]);
  expired.begin(2_000);
  assert.deepEqual(expired.keep([SERVER.id], directory, 2_100).all, [SERVER]);
  assert.deepEqual(expired.keep([SERVER.id], directory, REWRITTEN_MS).all, []);
  assert.deepEqual(expired.takeMissing(REWRITTEN_MS), [SERVER.id]);
  assert.deepEqual(expired.takeMissing(2 * REWRITTEN_MS), []);
});

test('a server that wrote its row again may be kept again after another outage', () => {
  expired.begin(0);
  expired.keep([SERVER.id], directory, 100);
  assert.equal(expired.release(SERVER.id), true);
  expired.begin(10_000);
  assert.deepEqual(expired.keep([SERVER.id], directory, 10_100).added, [SERVER]);
});
