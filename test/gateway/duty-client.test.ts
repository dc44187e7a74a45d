/** The client for the duties' calls to the platform, over TCP. */

import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { createPlatformAdapter } from '../../platform/index.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';
import type { DutyOutcome, PlatformDuties } from '../../src/shell/gateway/index.js';
import { type Script, ServerStandIn, UNUSABLE_STATUSES } from './support/server-stand-in.js';

const REPORT = { window: 353_445_120, counts: { leiden: 412, delft: 1 } };
const AUTHORITY = { holder: 'front-1', fence: 12 };

let platform: ServerStandIn;

beforeEach(async () => {
  platform = new ServerStandIn(({ response }) => void response.writeHead(200).end('{}'));
  await platform.start();
});

afterEach(() => platform.stop());

function duties(): PlatformDuties {
  const [host = '', port = ''] = platform.address.split(':');
  const address = { host, port: Number(port) };
  const found = createPlatformAdapter(ANSWER_READING, address, address).duties;
  assert.ok(found !== undefined);
  return found;
}

function report(): Promise<DutyOutcome> {
  return duties().reportUsage(REPORT, AUTHORITY, new AbortController().signal);
}

test('a usage report carries its holder, its fencing token and the counts by tenant', async () => {
  assert.deepEqual(await report(), { kind: 'accepted' });
  const [seen] = platform.seen;
  assert.equal(`${seen?.method} ${seen?.url}`, 'POST /usage');
  assert.equal(seen?.headers['x-duty-holder'], 'front-1');
  assert.equal(seen?.headers['x-fencing-token'], '12');
  assert.equal(seen?.headers['content-type'], 'application/json');
  assert.deepEqual(JSON.parse(seen?.body ?? ''), REPORT);
});

const STATUSES: readonly (readonly [number, DutyOutcome])[] = [
  [409, { kind: 'conflict' }],
  [429, { kind: 'refused', status: 429 }],
  [503, { kind: 'refused', status: 503 }],
];

for (const [status, outcome] of STATUSES) {
  test(`an answer with status ${status} gives the outcome ${outcome.kind}`, async () => {
    platform.script = ({ response }) => void response.writeHead(status).end('not JSON');
    assert.deepEqual(await report(), outcome);
  });
}

for (const status of [...UNUSABLE_STATUSES, '500', '502']) {
  // Guards against a report that is taken for refused, and sent anew, although the platform may have accepted it.
  test(`a report that is answered with status ${status} is lost, not refused`, async () => {
    platform.script = ({ socket }) =>
      void socket.end(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\n{}`);
    assert.equal((await report()).kind, 'lost');
  });
}

const resetting: Script = ({ response }) => void response.destroy();

test('a call whose connection is reset has the outcome lost', async () => {
  platform.script = resetting;
  assert.equal((await report()).kind, 'lost');
});

test('an aborted call has the outcome lost', async () => {
  const abortController = new AbortController();
  platform.script = () => abortController.abort();
  const outcome = await duties().reportUsage(REPORT, AUTHORITY, abortController.signal);
  assert.equal(outcome.kind, 'lost');
});

test('without an address for duties the adapter has none', () => {
  assert.equal(
    createPlatformAdapter(ANSWER_READING, { host: '127.0.0.1', port: 1 }).duties,
    undefined,
  );
});
