/**
 * Answers in another transfer coding than chunks end with their connection (RFC 9112 section 6.3). One that its server cut
 * there was framed for its caller as whole.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { callRaw, type RawAnswer } from './support/raw-caller.js';
import {
  answering,
  type CutEnding,
  rejectingAsNotExecuted,
  type Script,
  type ServedRequest,
  sendCut,
  stamped,
} from './support/server-stand-in.js';

const ROUTES = [
  route({}),
  route({ name: 'thumbs', pathPrefix: '/thumbs/', kind: 'idempotent', attempts: 2 }),
  READ_ROUTE,
];
const UNKNOWN_CODINGS = ['gzip', 'chunked, gzip', 'gzip, chunked', 'chunked, identity', 'chunke'];
/** Codings that change nothing. */
const NO_CODINGS = ['identity', ''];
const ENDINGS = ['closes', 'resets'] as const;
const PART = 'id: 1\ndata: pie';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function start(scripts: Readonly<Record<string, Script>>): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, ROUTES));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  for (const [id, script] of Object.entries(scripts)) {
    const fields = id.startsWith('r') ? { service: 'reader', stage: 'decode' } : {};
    await fixture.addServer(id, script, fields);
    await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  }
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
}

function call(path: string): Promise<RawAnswer> {
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1', 'X-Model: m', 'X-Token-Count: 30,4'];
  return callRaw(fixture.callersPort, [`POST ${path} HTTP/1.1`, ...own, 'Content-Length: 0']);
}

/** What the server sends to the next request. */
interface Coded {
  readonly coding: string;
  readonly body: string;
  readonly ending: CutEnding;
}

let next: Coded = { coding: '', body: '', ending: 'closes' };

/** Answers callers' requests with `next`. */
const coded: Script = (served: ServedRequest) => {
  const { seen } = served;
  if (seen.method !== 'POST') return rejectingAsNotExecuted(served);
  const own = Object.entries(stamped(seen)).map(([name, value]) => `${name}: ${value}`);
  const lines = ['HTTP/1.1 200 OK', ...own, `Transfer-Encoding: ${next.coding}`, '', next.body];
  sendCut(served, lines.join('\r\n'), next.ending);
};

// Guards against bytes that no caller can decode and whose end only a close tells.
test('an answer in a transfer coding other than chunked is none', async () => {
  await start({ 'v-1': coded, 'r-1': coded });
  for (const coding of UNKNOWN_CODINGS) {
    for (const ending of ENDINGS) {
      for (const path of ['/tiles/1', '/thumbs/1', '/read/1']) {
        next = { coding, body: PART, ending };
        const { status } = await call(path);
        assert.equal(status, 502, `${path} ${coding} ${ending}`);
      }
    }
  }
});

test('a repeatable request that got an answer in a transfer coding other than chunked is answered by a second server', async () => {
  next = { coding: 'gzip', body: PART, ending: 'closes' };
  const scripts = [coded, answering(200, 'whole')];
  const inTurn: Script = (served) => scripts.shift()?.(served);
  await start({ 'v-1': inTurn, 'v-2': inTurn });
  const answer = await call('/thumbs/1');
  assert.deepEqual([answer.status, answer.body, answer.looksWhole], [200, 'whole', true]);
});

// Guards against a length for an answer of which nothing tells whether it is whole.
test('an answer whose transfer coding changes nothing is passed on as one without a length', async () => {
  await start({ 'v-1': coded });
  for (const coding of NO_CODINGS) {
    for (const body of [PART, '']) {
      next = { coding, body, ending: 'closes' };
      const answer = await call('/tiles/1');
      assert.deepEqual([answer.status, answer.body], [200, body]);
      assert.doesNotMatch(answer.head, /content-length|transfer-encoding/);
    }
  }
});

test('an answer whose transfer coding changes nothing and that is reset is not told as whole', async () => {
  await start({ 'v-1': coded, 'r-1': coded });
  for (const coding of NO_CODINGS) {
    for (const path of ['/tiles/1', '/read/1']) {
      next = { coding, body: PART, ending: 'resets' };
      const answer = await call(path);
      assert.ok(answer.status === 502 || !answer.looksWhole, `${path} ${answer.head}`);
    }
  }
});
