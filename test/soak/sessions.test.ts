/** Guards against callers that open new connections where operators' clients keep theirs until the process is gone. */
import assert from 'node:assert/strict';
import http from 'node:http';
import { test } from 'node:test';
import { Callers } from '../../soak/callers.js';
import type { CallRecord } from '../../soak/record.js';
import type { CalledDaemon } from '../../soak/sessions.js';
import { closeListener, openListener } from '../../src/lab/common/listener.js';
import { classOf } from './support/made-calls.js';

const REQUESTS = 12;

/** Runs one caller against a server until it has sent some requests; returns its calls in order. */
async function callsTo(answer: http.RequestListener): Promise<readonly CallRecord[]> {
  const calls = new Map<string, CallRecord>();
  let received = 0;
  let finish: () => void = () => undefined;
  const finished = new Promise<void>((resolve) => (finish = resolve));
  const server = http.createServer((request, response) => {
    received += 1;
    answer(request, response);
    if (received === REQUESTS) finish();
  });
  const { port } = await openListener(server, { address: '127.0.0.1', port: 0 });
  const daemon: CalledDaemon = {
    name: 'd1',
    host: '127.0.0.1',
    port,
    incarnation: 1,
    isRunning: true,
    isReady: () => Promise.resolve(true),
  };
  const callers = new Callers({
    daemons: [daemon],
    classes: [],
    requestsPerSecond: 0,
    sessions: { count: 1, classes: [classOf('idempotent')], slowReaderShare: 0 },
    keys: [{ key: 'key', tenant: 'tenant' }],
    random: () => 0.1,
    calls,
  });
  callers.start();
  await finished;
  callers.close();
  await closeListener(server);
  return [...calls.values()].slice(0, REQUESTS);
}

test('a caller sends one request after another on the same connection', async () => {
  const calls = await callsTo((_, response) => response.end('ok'));
  const earlier = calls.map(({ connection }) => connection?.earlierRequests);
  assert.deepEqual(
    earlier,
    Array.from({ length: REQUESTS }, (_, index) => index),
  );
  for (const [index, { sentMs }] of calls.entries()) {
    assert.ok(sentMs >= (calls[index - 1]?.endedMs ?? 0));
  }
});

test('a caller opens another connection once the daemon has closed its own', async () => {
  const calls = await callsTo((_, response) =>
    response.writeHead(200, { Connection: 'close' }).end('ok'),
  );
  assert.ok(calls.every(({ connection }) => connection?.earlierRequests === 0));
});
