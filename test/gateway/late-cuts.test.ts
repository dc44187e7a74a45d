/** Servers that stop in their answer's head and close or reset only later, or send it byte by byte. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { deferred } from './support/deferred.js';
import { configuration, GatewayFixture, READ_ROUTE, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { callRaw, type RawAnswer } from './support/raw-caller.js';
import {
  type CutEnding,
  type Script,
  type SeenRequest,
  type ServerStandIn,
  sendCut,
  stamped,
} from './support/server-stand-in.js';

const TIMEOUT_MS = 5_000;
const ROUTES = [
  route({ timeoutMs: TIMEOUT_MS }),
  route({
    name: 'thumbs',
    pathPrefix: '/thumbs/',
    kind: 'idempotent',
    attempts: 2,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: 20_000,
  }),
  READ_ROUTE,
];
const BODY = 'whole';
const ENDINGS = ['closes', 'resets'] as const;
const HEAD_PART = 'HTTP/1.1 200 OK\r\nContent-Le';
const NO_RETRIES = { ratio: 0, slack: 0 };

let fixture: GatewayFixture;
let timers: ManualTimers;
let servers: ServerStandIn[];

beforeEach(() => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  servers = [];
});

afterEach(() => fixture.stop());

async function start(
  scripts: readonly Script[],
  fields: object = {},
  retryBudget?: typeof NO_RETRIES,
): Promise<void> {
  await fixture.start(timers, retryBudget);
  fixture.store.putConfiguration(configuration(1, ROUTES));
  for (const [index, script] of scripts.entries()) {
    servers.push(await fixture.addServer(`v-${index}`, script, fields));
  }
  const isKnown = () =>
    fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.serverAdded).length ===
      scripts.length && fixture.lines.some(({ event }) => event === GATEWAY_EVENTS.crashTableRead);
  await timers.advanceUntil(isKnown);
}

function call(path: string): Promise<RawAnswer> {
  const own = ['Host: labels.example', 'X-Attempt-Id: a-1'];
  return callRaw(fixture.callersPort, [`POST ${path} HTTP/1.1`, ...own, 'Content-Length: 0']);
}

/** Calls while time goes on. */
async function callInTime(path: string): Promise<RawAnswer> {
  let isOver = false;
  const answer = call(path).finally(() => {
    isOver = true;
  });
  await timers.advanceUntil(() => isOver);
  return answer;
}

function wholeAnswer(seen: SeenRequest): string {
  const own = Object.entries(stamped(seen)).map(([name, value]) => `${name}: ${value}`);
  const lines = ['HTTP/1.1 200 OK', ...own, `Content-Length: ${BODY.length}`, '', BODY];
  return lines.join('\r\n');
}

function runs(): number {
  const seen = servers.flatMap((server) => server.seen);
  return seen.filter(({ headers }) => headers['x-attempt-id'] !== undefined).length;
}

function end(socket: Socket, ending: CutEnding): void {
  if (ending === 'closes') socket.end();
  else socket.resetAndDestroy();
}

for (const ending of ENDINGS) {
  for (const [when, waitMs, status] of [
    ['before its time-out', TIMEOUT_MS / 2, 502],
    ['after its time-out', TIMEOUT_MS * 2, 504],
  ] as const) {
    // Guards against a success, a second run or a promise that nothing ran.
    test(`a request whose server stops in the head and ${ending} ${when} fails, and runs once`, async () => {
      const stopped = deferred<Socket>();
      const stopping: Script = ({ socket }) => {
        socket.on('error', () => undefined);
        socket.write(HEAD_PART, () => stopped.resolve(socket));
      };
      await start([stopping, stopping]);
      const answer = call('/tiles/1');
      const socket = await stopped.promise;
      await timers.advanceBy(waitMs);
      end(socket, ending);
      const { status: got, looksWhole } = await answer;
      assert.deepEqual([got, looksWhole], [status, true]);
      assert.equal(runs(), 1);
    });
  }

  test(`a repeatable request whose server stops in the head and ${ending} is answered by a second server`, async () => {
    let isFirst = true;
    const script: Script = (served) => {
      const text = isFirst ? HEAD_PART : wholeAnswer(served.seen);
      isFirst = false;
      sendCut(served, text, ending);
    };
    await start([script, script]);
    const answer = await callInTime('/thumbs/1');
    assert.deepEqual([answer.status, answer.body, answer.looksWhole], [200, BODY, true]);
    assert.equal(runs(), 2);
  });

  test(`a repeatable request whose server stops in the head and ${ending} fails where the retry budget is spent`, async () => {
    const script: Script = (served) => sendCut(served, HEAD_PART, ending);
    await start([script, script], {}, NO_RETRIES);
    assert.equal((await callInTime('/thumbs/1')).status, 502);
    assert.equal(runs(), 1);
  });

  test(`an answer that comes byte by byte is whole, and fails where its server ${ending} in the head`, async () => {
    let isCut = false;
    const trickling: Script = (served) => {
      const text = isCut ? HEAD_PART : wholeAnswer(served.seen);
      const { socket } = served;
      socket.setNoDelay(true);
      let sent = 0;
      const next = () => {
        socket.write(text.charAt(sent));
        sent += 1;
        if (sent < text.length) setImmediate(next);
        else end(socket, ending);
      };
      next();
    };
    await start([trickling]);
    isCut = true;
    assert.equal((await callInTime('/tiles/1')).status, 502);
    if (ending === 'resets') return;
    isCut = false;
    const answer = await callInTime('/tiles/1');
    assert.deepEqual([answer.status, answer.body, answer.looksWhole], [200, BODY, true]);
  });
}
