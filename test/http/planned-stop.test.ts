/** Guards against connections that a planned stop closes under requests, or without having told their callers. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { type TestContext, test } from 'node:test';
import { type Harness, KEY, startHarness, startHttpBackend } from './support.js';

const STOP_IDLE_GRACE_MS = 500;
const WAITING_CONNECTIONS = 20;
const TIMEOUT = { timeout: 10_000 };
const REQUEST = [
  'POST /sheets/orders HTTP/1.1',
  'host: a',
  `authorization: Bearer ${KEY}`,
  'content-length: 0',
  '\r\n',
].join('\r\n');

/** A server with an order service that answers nothing by itself, and a caller's connection to it. */
class Scene {
  readonly running: ServerResponse[] = [];
  text = '';
  readonly #waiters = new Set<() => void>();

  private constructor(
    readonly harness: Harness,
    readonly socket: Socket,
  ) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
      this.#wake();
    });
    socket.on('close', () => this.#wake());
  }

  static async start(t: TestContext): Promise<Scene> {
    const takeRequest: { handle: (response: ServerResponse) => void } = { handle: () => undefined };
    const orders = await startHttpBackend('orders', (_request, response) =>
      takeRequest.handle(response),
    );
    const limits = { stopIdleGraceMs: STOP_IDLE_GRACE_MS };
    const harness = await startHarness({ backends: [orders], limits });
    t.after(() => Promise.all([harness.close(), orders.close()]));
    const socket = connect(harness.port, '127.0.0.1');
    await once(socket, 'connect');
    const scene = new Scene(harness, socket);
    takeRequest.handle = (response) => {
      scene.running.push(response);
      scene.#wake();
    };
    return scene;
  }

  /** Resolves once something holds, or the connection is closed. */
  async until(isDone: () => boolean): Promise<void> {
    while (!isDone() && !this.socket.destroyed) {
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  #wake(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const resolve of waiters) resolve();
  }
}

/** Asks on a connection of its own; resolves with what came on it until its end. */
function askReadiness(port: number): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  socket.write('GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n');
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(text));
  });
}

// A caller that is not told may send its next request on a connection that is about to be closed.
test('an answer that begins in a stop says that its connection closes', async (t) => {
  const scene = await Scene.start(t);
  scene.socket.write(REQUEST);
  await scene.until(() => scene.running.length === 1);
  void scene.harness.server.stopAccepting();
  scene.running[0]?.end('renewed');
  await scene.until(() => scene.text.includes('renewed'));
  assert.match(scene.text, /^connection: close\r$/im);
});

// The event loop accepts one connection in a turn, and closing the listener resets the others.
test('all connections that wait to be accepted as a stop closes the listener get an answer', async (t) => {
  const { harness } = await Scene.start(t);
  void harness.server.stopAccepting();
  const answers = Array.from({ length: WAITING_CONNECTIONS }, () => askReadiness(harness.port));
  const untilMs = performance.now() + STOP_IDLE_GRACE_MS;
  while (performance.now() < untilMs);
  const unanswered = (await Promise.all(answers)).filter((text) => !text.startsWith('HTTP/1.1 '));
  assert.equal(unanswered.length, 0);
});

// The answer before it closed the connection, while a backend worked on the request.
test('a pipelined request that arrives in a stop gets its answer after the one before it', async (t) => {
  const scene = await Scene.start(t);
  void scene.harness.server.stopAccepting();
  scene.socket.write(REQUEST + REQUEST);
  await scene.until(() => scene.running.length === 2);
  scene.running[0]?.end('first');
  await scene.until(() => scene.text.includes('first'));
  scene.running[1]?.end('second');
  await scene.until(() => scene.text.includes('second'));
  assert.match(scene.text, /first.*second/s);
});

// node:http tells nothing of the end of a connection to the answers whose turn has not come.
test('pipelined requests whose caller leaves are given up, all of them', TIMEOUT, async (t) => {
  const scene = await Scene.start(t);
  const { harness, socket } = scene;
  socket.write(REQUEST + REQUEST);
  await scene.until(() => scene.running.length === 2);
  socket.destroy();
  await harness.eventually(
    () => harness.events.filter(({ kind }) => kind === 'caller-gone').length === 2,
  );
  assert.equal(harness.table.activeCount, 0);
  assert.equal(harness.server.activeRequests, 0);
});
