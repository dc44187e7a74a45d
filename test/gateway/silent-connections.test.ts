/** Idle connections to the platform's store that stop responding, over TCP. */

import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { type HttpCallResult, ServiceConnection } from '../../platform/http-call.js';
import { ANSWER_READING } from '../../src/shell/bytes/index.js';

const IDLE_CONNECTIONS = 3;
const CALL = { method: 'GET', path: '/rows', headers: {}, body: undefined } as const;

/** A service that answers every call, except on connections that it has stopped reading from. */
class SilencedService {
  readonly #silent = new Set<Socket>();
  readonly #open = new Set<Socket>();
  readonly #held: http.ServerResponse[] = [];
  readonly #unansweredListeners: (() => void)[] = [];
  readonly #server = http.createServer((request, response) => {
    if (this.#silent.has(request.socket)) {
      this.#unansweredListeners.shift()?.();
      return;
    }
    this.#held.push(response);
    this.#answerFullBatch();
  });
  /** Number of calls that are answered together, so that each needs a connection of its own. */
  batchSize = 1;

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

  /** Stops answering on all open connections; new ones work. */
  silence(): void {
    for (const socket of this.#open) this.#silent.add(socket);
  }

  /** Resolves once a call has arrived on a silent connection. */
  nextUnanswered(): Promise<void> {
    return new Promise((resolve) => this.#unansweredListeners.push(resolve));
  }

  #answerFullBatch(): void {
    if (this.#held.length < this.batchSize) return;
    for (const response of this.#held.splice(0)) response.writeHead(200).end('{}');
  }
}

let service: SilencedService;

beforeEach(() => {
  service = new SilencedService();
});

afterEach(() => service.stop());

// Idle connections may stop responding permanently while new ones work. The newest idle connection was always reused, so
// each of three dead ones cost a full time-out before the next was tried, and a daemon lost contact with its store for
// three time-outs of several seconds each.
test('when all idle connections stop responding, only one call is lost and the next is answered', async () => {
  const connection = new ServiceConnection(await service.start(), ANSWER_READING);
  service.batchSize = IDLE_CONNECTIONS;
  const first = Array.from({ length: IDLE_CONNECTIONS }, () =>
    connection.call(CALL, new AbortController().signal),
  );
  assert.ok((await Promise.all(first)).every(({ kind }) => kind === 'answered'));
  service.batchSize = 1;
  service.silence();
  const kinds: HttpCallResult['kind'][] = [];
  for (let calls = 0; calls < 2; calls += 1) {
    const ended = new AbortController();
    void service.nextUnanswered().then(() => ended.abort());
    const { kind } = await connection.call(CALL, ended.signal);
    kinds.push(kind);
  }
  assert.deepEqual(kinds, ['failed', 'answered']);
});
