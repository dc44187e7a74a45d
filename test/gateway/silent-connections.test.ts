/** What kept connections to the platform's store cost when they went silent, over TCP. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { type HttpCallResult, ServiceConnection } from '../../platform/http-call.js';

const KEPT = 3;
const CALL = { method: 'GET', path: '/rows', headers: {}, body: undefined } as const;

/** A service that answers all that it is asked, but for connections that went silent. */
class SilencedService {
  readonly #silent = new Set<Socket>();
  readonly #open = new Set<Socket>();
  readonly #held: http.ServerResponse[] = [];
  readonly #swallowed: (() => void)[] = [];
  readonly #server = http.createServer((request, response) => {
    if (this.#silent.has(request.socket)) {
      this.#swallowed.shift()?.();
      return;
    }
    this.#held.push(response);
    this.#answerWhenAll();
  });
  /** Calls that are answered together, so that each has a connection of its own. */
  together = 1;

  async start(): Promise<{ readonly host: string; readonly port: number }> {
    this.#server.on('connection', (socket) => this.#open.add(socket));
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return { host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port };
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** All connections there are say nothing any more; new ones work. */
  silence(): void {
    for (const socket of this.#open) this.#silent.add(socket);
  }

  /** Resolves once a call has come on a silent connection. */
  swallowed(): Promise<void> {
    return new Promise((resolve) => this.#swallowed.push(resolve));
  }

  #answerWhenAll(): void {
    if (this.#held.length < this.together) return;
    for (const response of this.#held.splice(0)) response.writeHead(200).end('{}');
  }
}

let service: SilencedService;

beforeEach(() => {
  service = new SilencedService();
});

afterEach(() => service.stop());

// Kept connections may go silent for good while new ones work. Each one that a daemon had kept to its store cost a whole
// time-out before the next was tried, as the newest kept connection was always taken: three kept, three calls lost. With
// time-outs of seconds a daemon was out of touch for far longer than the silence of any one of them explains.
test('of all kept connections that went silent one call is lost, and the next has an answer', async () => {
  const connection = new ServiceConnection(await service.start());
  service.together = KEPT;
  const first = Array.from({ length: KEPT }, () =>
    connection.call(CALL, new AbortController().signal),
  );
  assert.ok((await Promise.all(first)).every(({ kind }) => kind === 'answered'));
  service.together = 1;
  service.silence();
  const kinds: HttpCallResult['kind'][] = [];
  for (let calls = 0; calls < 2; calls += 1) {
    const ended = new AbortController();
    void service.swallowed().then(() => ended.abort());
    const { kind } = await connection.call(CALL, ended.signal);
    kinds.push(kind);
  }
  assert.deepEqual(kinds, ['failed', 'answered']);
});
