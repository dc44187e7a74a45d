/**
 * Runs a whole gateway between servers, a store and callers that send wrong bytes. No byte may end the process or bring up a
 * fault of the code, and sound requests are served once the bytes are sound again.
 */

import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import { TABLES } from '../platform/names.js';
import { GATEWAY_EVENTS } from '../src/core/logging/catalogue/gateway.js';
import {
  configuration,
  GatewayFixture,
  LONG_REQUEST,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  route,
  SHORT_REQUEST,
} from '../test/gateway/support/fixture.js';
import { pick, type Random, spoil } from './spoil.js';

const SPOILED_ANSWER_SHARE = 0.3;
const SPOILED_HEAD_SHARE = 0.2;
const SPOILED_ROW_SHARE = 0.1;
const REQUESTS_AT_ONCE = 8;
const CALL_TIMEOUT_MS = 1_500;
const CALM_ATTEMPTS = 40;
/** The time-outs of the routes to engines; shorter ones make what is learnt of the engines' paces matter more. */
const DEFAULT_TIMEOUT_MS = 5_000;

function routes(timeoutMs: number): readonly unknown[] {
  return [
    route({}),
    route({ name: 'thumbs', pathPrefix: '/thumbs/', kind: 'idempotent', attempts: 2 }),
    { ...READ_ROUTE, timeoutMs },
    { ...RESUMABLE_ROUTE, timeoutMs },
  ];
}

/** What a campaign found. */
export interface GatewayCampaignResult {
  readonly requests: number;
  /** Faults of the code, from the lines of the log. */
  readonly faults: readonly string[];
  /** Whether a request of each route was served at the end. */
  readonly isServing: boolean;
}

/** A server that answers with bytes that may be spoiled. */
class SpoilingServer {
  readonly #random: Random;
  readonly #spoiledShare: () => number;
  readonly #server = createServer((socket) => this.#serve(socket));
  readonly #sockets = new Set<Socket>();

  constructor(random: Random, spoiledShare: () => number) {
    this.#random = random;
    this.#spoiledShare = spoiledShare;
  }

  async start(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Answers each head that arrives; bodies of requests are short and come with their head. */
  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.#sockets.delete(socket));
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const answer = answerTo(received);
      received = '';
      const isSpoiled = this.#random() < this.#spoiledShare();
      socket.end(isSpoiled ? spoil(this.#random, answer) : answer);
    });
  }
}

function answerTo(head: string): Buffer {
  const id = /^x-attempt-id: (.*)$/im.exec(head)?.[1]?.trim();
  const headers = id === undefined ? [] : [`X-Attempt-Id: ${id}`, 'X-Response-Stamp: s'];
  if (/^x-stage: prefill/im.test(head)) {
    return framed(headers, JSON.stringify({ kvHandle: '3fa09c41', tokens: 10, version: 1 }));
  }
  if (head.startsWith('GET /kv-events')) {
    const events = [[1, '+', '', 'aa', 800, 'm']];
    return framed(headers, JSON.stringify({ epoch: 'e', nextToken: 1, events }));
  }
  if (/^x-token-count:/im.test(head)) return stream(headers, head);
  return framed([...headers, 'X-Server-Load: 1,0,6'], 'served');
}

function framed(headers: readonly string[], body: string): Buffer {
  const lines = ['HTTP/1.1 200 OK', ...headers, `Content-Length: ${body.length}`, '', body];
  return Buffer.from(lines.join('\r\n'));
}

/** Three events from the one after `Last-Event-Id`, in chunks. */
function stream(headers: readonly string[], head: string): Buffer {
  const after = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  const head200 = ['HTTP/1.1 200 OK', ...headers, 'Content-Type: text/event-stream'];
  const chunks: string[] = [];
  for (let event = after + 1; event <= 3; event += 1) {
    const text = `id: ${event}\ndata: piece ${event}\n\n`;
    chunks.push(`${text.length.toString(16)}\r\n${text}\r\n`);
  }
  const framing = ['Transfer-Encoding: chunked', '', ''].join('\r\n');
  return Buffer.from(`${head200.join('\r\n')}\r\n${framing}${chunks.join('')}0\r\n\r\n`);
}

const PATHS = ['/tiles/1', '/thumbs/1', LONG_REQUEST.path, SHORT_REQUEST.path] as const;

function headOf(path: string): Buffer {
  const described = path === LONG_REQUEST.path ? LONG_REQUEST : SHORT_REQUEST;
  const isModel = path === LONG_REQUEST.path || path === SHORT_REQUEST.path;
  const headers = Object.entries(isModel ? described.headers : {});
  const lines = headers.map(([name, value]) => `${name}: ${value}`);
  const first = [`POST ${path} HTTP/1.1`, 'Host: labels.example', 'X-Attempt-Id: a-1', ...lines];
  return Buffer.from([...first, 'Content-Length: 0', 'Connection: close', '', ''].join('\r\n'));
}

/** Sends a head and resolves to all that comes back until the connection ends. */
function send(port: number, head: Buffer): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    const timer = setTimeout(() => socket.destroy(), CALL_TIMEOUT_MS);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
    socket.write(head);
  });
}

/** A gateway with servers of its own, and the share of wrong bytes. */
class SpoiledFleet {
  readonly #random: Random;
  readonly #servers: SpoilingServer[] = [];
  readonly fixture = new GatewayFixture();
  #isCalm = false;

  constructor(random: Random) {
    this.#random = random;
  }

  async start(timeoutMs: number): Promise<void> {
    await this.fixture.start();
    this.fixture.store.putConfiguration(configuration(1, routes(timeoutMs)));
    await this.fixture.logged(GATEWAY_EVENTS.configurationInForce);
    await this.#addServer('i-1', { service: 'viewer' });
    await this.#addServer('i-2', { service: 'viewer' });
    await this.#addServer('i-3', { service: 'reader', stage: 'prefill' });
    await this.#addServer('i-4', { service: 'reader', stage: 'decode' });
    await this.#addServer('i-5', { service: 'reader', stage: 'decode' });
    await this.fixture.logged(GATEWAY_EVENTS.crashTableRead);
  }

  stop(): void {
    this.fixture.stop();
    for (const server of this.#servers) server.stop();
  }

  /** From now on servers send sound bytes, and the odd row is gone. */
  calm(): void {
    this.#isCalm = true;
    this.fixture.store.remove(TABLES.servers, 'i-odd');
  }

  /** One request, before which a row may be spoiled. */
  async sendOne(): Promise<void> {
    const random = this.#random;
    if (random() < SPOILED_ROW_SHARE) {
      const stage = pick(random, ['prefill', 'decode']);
      const row = { service: 'reader', zone: 'a', slots: 6, state: 'ready', stage };
      const document = Buffer.from(JSON.stringify({ ...row, address: '127.0.0.1:9' }));
      this.fixture.store.putBytes(TABLES.servers, 'i-odd', spoil(random, document));
    }
    const head = headOf(pick(random, PATHS));
    const isSpoiled = random() < SPOILED_HEAD_SHARE;
    await send(this.fixture.callersPort, isSpoiled ? spoil(random, head) : head);
  }

  /** Whether a route serves a request, in one of some attempts. */
  async serves(path: string): Promise<boolean> {
    for (let attempt = 0; attempt < CALM_ATTEMPTS; attempt += 1) {
      const answer = await send(this.fixture.callersPort, headOf(path));
      if (answer.startsWith('HTTP/1.1 200')) return true;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    return false;
  }

  async #addServer(id: string, fields: object): Promise<void> {
    const share = () => (this.#isCalm ? 0 : SPOILED_ANSWER_SHARE);
    const server = new SpoilingServer(this.#random, share);
    this.#servers.push(server);
    const address = await server.start();
    const row = { address, zone: 'a', slots: 6, state: 'ready', ...fields };
    this.fixture.store.putServer(id, row);
    await this.fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server: added }) => added === id);
  }
}

/** Sends a number of requests among wrong bytes. */
export async function runGatewayCampaign(
  random: Random,
  requests: number,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<GatewayCampaignResult> {
  const fleet = new SpoiledFleet(random);
  await fleet.start(timeoutMs);
  try {
    for (let sent = 0; sent < requests; sent += REQUESTS_AT_ONCE) {
      await Promise.all(Array.from({ length: REQUESTS_AT_ONCE }, () => fleet.sendOne()));
    }
    fleet.calm();
    const served = await Promise.all(PATHS.map((path) => fleet.serves(path)));
    const faults = fleet.fixture.lines
      .filter(({ event }) => event === GATEWAY_EVENTS.internalFault)
      .map(({ fields }) => `${fields.task}: ${fields.stack}`);
    return { requests, faults, isServing: served.every(Boolean) };
  } finally {
    fleet.stop();
  }
}
