/** A process that was stopped closed connections of callers without an answer, or ended before the last ones were written. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';
import { after, afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { STOP_EVENTS } from '../../src/core/logging/catalogue/stops.js';
import { configuration, READ_ROUTE, route } from '../gateway/support/fixture.js';
import { type ServedRequest, ServerStandIn, stamped } from '../gateway/support/server-stand-in.js';
import { StoreStandIn } from '../gateway/support/store-stand-in.js';
import { type GatewayProcess, GatewayProgram, settingsText } from './support/gateway-program.js';

const TIMEOUT = { timeout: 20_000 };
const GRACE_MS = 2_000;
const OUTLASTING_MS = 60_000;
const FIRST = 'id: 1\ndata: piece 1\n\n';
const STOPPED = { exitCode: 0, signal: null };

const program = new GatewayProgram();
let store: StoreStandIn;
let servers: ServerStandIn[];

beforeEach(() => {
  store = new StoreStandIn();
  servers = [];
});

afterEach(async () => {
  await program.killAll();
  for (const server of servers) server.stop();
  store.stop();
});

after(() => program.remove());

/** Starts a process with one server of each service, which handle requests of callers as scripted. */
async function start(
  callers: number,
  serve: (served: ServedRequest) => void,
): Promise<GatewayProcess> {
  const { host, port } = await store.start();
  const own = { timeoutMs: OUTLASTING_MS, targetLatencyMs: OUTLASTING_MS };
  store.putConfiguration(configuration(1, [route(own), { ...READ_ROUTE, ...own }]));
  const kinds = [{ service: 'viewer' }, { service: 'reader', stage: 'decode' }];
  for (const [index, fields] of kinds.entries()) {
    const server = new ServerStandIn((served) => {
      if (served.seen.method === 'POST') serve(served);
      else served.response.writeHead(200).end();
    });
    await server.start();
    servers.push(server);
    const { address } = server;
    const row = { address, zone: 'a', slots: 6, state: 'ready', sequence: 1, ...fields };
    store.putServer(`i-${index + 1}`, row);
  }
  const text = settingsText({ callers }).replace(/store: .*/, `store: ${host}:${port}`);
  const daemon = program.start(program.writeSettings(text));
  for (const { id } of [{ id: 'i-1' }, { id: 'i-2' }]) {
    await daemon.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === id);
  }
  await daemon.logged(GATEWAY_EVENTS.configurationInForce);
  await daemon.logged(GATEWAY_EVENTS.crashTableRead);
  return daemon;
}

/** A port that was free a moment ago: a process does not tell which it got for port 0. */
async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  await once(server.close(), 'close');
  return port;
}

/** Sends a head and a part of a body; resolves with all that came until the connection ended. */
function call(port: number, path: string, length: number, part = ''): Promise<string> {
  const head = ['Host: labels.example', 'X-Attempt-Id: a-1', 'X-Model: m', 'X-Token-Count: 30,4'];
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.write(
    [`POST ${path} HTTP/1.1`, ...head, `Content-Length: ${length}`, '', part].join('\r\n'),
  );
  return new Promise((resolve) => socket.once('close', () => resolve(received)));
}

test(
  'a process answers all that is left at the end of its stop, and ends in time',
  TIMEOUT,
  async () => {
    let arrived = () => {};
    const bothArrived = new Promise<void>((resolve) => {
      let count = 0;
      arrived = () => {
        count += 1;
        if (count === 2) resolve();
      };
    });
    const port = await freePort();
    const daemon = await start(port, ({ seen, response }) => {
      if (seen.url.startsWith('/read/')) response.writeHead(200, stamped(seen)).write(FIRST);
      arrived();
    });
    const sent = call(port, '/tiles/1', 0);
    const stream = call(port, '/read/1', 0);
    await bothArrived;
    const partial = call(port, '/tiles/2', 10, 'part');
    const beganMs = performance.now();
    daemon.signal('SIGTERM');
    assert.deepEqual(await daemon.ended, STOPPED);
    assert.ok(performance.now() - beganMs < GRACE_MS);
    assert.match(await sent, /^HTTP\/1\.1 504 [\s\S]*\r\n\r\n.+\n$/);
    assert.match(await partial, /^HTTP\/1\.1 503 [\s\S]*\r\n\r\n.+\n$/);
    assert.ok((await stream).endsWith(FIRST.concat('\r\n')));
    for (const phase of ['sent', 'streaming', 'reading-body']) {
      await daemon.logged(STOP_EVENTS.requestCutByStop, (line) => line.phase === phase);
    }
    await daemon.logged(GATEWAY_EVENTS.stopped, ({ cut }) => cut === 3);
  },
);
