/** Prefills whose answer is cut: memory of which a handle is not known must not be named to the engine that decodes. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, LONG_REQUEST, READ_ROUTE } from './support/fixture.js';
import { callRaw, type RawAnswer } from './support/raw-caller.js';
import {
  type CutEnding,
  engine,
  rejectingAsNotExecuted,
  type Script,
  type ServerStandIn,
  sendCut,
} from './support/server-stand-in.js';

const BODY = JSON.stringify({ kvHandle: 'handle-1', tokens: 10, version: 1 });
const OWN = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nContent-Type: application/json\r\n';
/** Whole answers, by what marks their end. */
const ANSWERS: Readonly<Record<string, string>> = {
  'a length': `${OWN}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `${OWN}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  'a close': `${OWN}\r\n${BODY}`,
};
const ENDINGS = ['closes', 'resets'] as const;
const STEP_BYTES = 13;

let fixture: GatewayFixture;
let sent = '';
let ending: CutEnding = 'closes';
let prefills = 0;

beforeEach(() => {
  fixture = new GatewayFixture();
  prefills = 0;
});

afterEach(() => fixture.stop());

const prefilling: Script = (served) => {
  if (served.seen.headers['x-stage'] !== 'prefill') return rejectingAsNotExecuted(served);
  prefills += 1;
  sendCut(served, sent, ending);
};

async function start(): Promise<ServerStandIn> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, [READ_ROUTE]));
  await fixture.logged(GATEWAY_EVENTS.configurationInForce);
  await fixture.addServer('p-1', prefilling, { service: 'reader', stage: 'prefill' });
  const decode = await fixture.addServer('d-1', engine(3), { service: 'reader', stage: 'decode' });
  for (const id of ['p-1', 'd-1']) {
    await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  }
  await fixture.logged(GATEWAY_EVENTS.crashTableRead);
  return decode;
}

function call(): Promise<RawAnswer> {
  const own = Object.entries(LONG_REQUEST.headers).map(([name, value]) => `${name}: ${value}`);
  const lines = ['Host: labels.example', 'X-Attempt-Id: a-1', ...own, 'Content-Length: 0'];
  return callRaw(fixture.callersPort, [`POST ${LONG_REQUEST.path} HTTP/1.1`, ...lines]);
}

for (const [name, whole] of Object.entries(ANSWERS)) {
  for (const how of ENDINGS) {
    // Guards against a prefill that passes for one without memory, or with that of a handle that was cut.
    test(`a prefill whose answer ends with ${name} and whose server ${how} in it is none, and the request runs without it`, async () => {
      ending = how;
      for (let end = 0; end < whole.length; end += STEP_BYTES) {
        // A fleet of its own, as an engine that has broken off is not asked again for a while.
        fixture.stop();
        fixture = new GatewayFixture();
        prefills = 0;
        sent = whole.slice(0, end);
        const decode = await start();
        const answer = await call();
        assert.equal(prefills, 1);
        assert.deepEqual([answer.status, answer.looksWhole], [200, true], String(end));
        assert.match(answer.body, /^id: 1\n.*piece 3\n\n$/s);
        assert.ok(decode.seen.every(({ headers }) => headers['x-kv-source'] === undefined));
      }
    });
  }
}
