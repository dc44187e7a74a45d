/** A caller server with the real request table, and backends whose answers the tests script. */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import {
  createServer,
  type IncomingHttpHeaders,
  type RequestListener,
  request as sendRequest,
} from 'node:http';
import { type AddressInfo, connect, createServer as createTcpServer, type Socket } from 'node:net';
import { configurationSchema } from '../../src/core/configuration/document.js';
import { type Fault, refusedNotRun } from '../../src/core/errors/fault.js';
import type { TableEffect } from '../../src/core/platform/table.js';
import type { Endpoint } from '../../src/core/registry/backend.js';
import {
  type RequestDescription,
  RequestTable,
  type RequestTableContext,
  type RequestTableEffect,
  type RequestTableEvent,
  type RouteChoice,
} from '../../src/core/requests/index.js';
import {
  type CallerEvent,
  type CallerRefusal,
  type CallerServer,
  createCallerServer,
  DEFAULT_HTTP_LIMITS,
  type HttpLimits,
} from '../../src/shell/http/index.js';
import { FakeStore } from '../requests/support.js';

export const KEY = 'test-key';

const DOCUMENT = configurationSchema.parse({
  models: { labels: { version: 'v1', adapters: { latin: { version: 'v1' } } } },
  classes: {
    interactive: { priority: 1, deadlineMs: 20_000 },
    batch: { priority: 5, deadlineMs: 60_000 },
  },
  tenants: {
    scanhuis: {
      keyDigests: [createHash('sha256').update(KEY).digest('hex')],
      class: 'interactive',
    },
    visitors: { class: 'interactive' },
  },
  routes: [
    { prefix: '/sheets', service: 'viewer' },
    { prefix: '/sheets/orders', service: 'orders' },
  ],
  anonymousTenant: null,
});

/** A backend that the harness can dispatch to. */
export interface Backend extends Endpoint {
  readonly name: string;
  close(): Promise<void>;
}

/** A running caller server with its request table, store, events and effects. */
export interface Harness {
  readonly server: CallerServer;
  readonly table: RequestTable;
  readonly port: number;
  readonly store: FakeStore;
  readonly events: readonly CallerEvent[];
  readonly effects: readonly RequestTableEffect[];
  /** The reasons of requests and connections that were refused at a limit of memory or time. */
  readonly refusals: readonly CallerRefusal[];
  /** Resolves when the condition holds; it is checked now and after each event. */
  eventually(condition: () => boolean): Promise<void>;
  tick(): void;
  close(): Promise<void>;
}

export interface HarnessOptions {
  readonly backends?: readonly Backend[];
  readonly limits?: Partial<HttpLimits>;
  readonly anonymous?: boolean;
  /** 0: no configuration has been set. */
  readonly configurationVersion?: number;
  /** The daemon's monotonic clock in milliseconds; `performance.now()` by default. */
  readonly now?: () => number;
  readonly choose?: (description: RequestDescription) => RouteChoice | null;
}

const NO_BACKEND: Fault = refusedNotRun('no-backend', 'No backend is left.', {
  retryAfterMs: 1_000,
});

/** Starts a caller server whose requests go to the first backend that is not excluded. */
export async function startHarness(options: HarnessOptions = {}): Promise<Harness> {
  const table = new RequestTable();
  const store = new FakeStore();
  const events: CallerEvent[] = [];
  const effects: RequestTableEffect[] = [];
  const refusals: CallerRefusal[] = [];
  const waiters = new Set<() => void>();
  const backends = options.backends ?? [];
  const now = options.now ?? (() => performance.now());
  const context = (): RequestTableContext => ({
    now: now(),
    entropy: 1,
    daemon: 'd1',
    incarnation: 1,
    choose: (description, excluded) => {
      const chosen = options.choose?.(description);
      if (chosen) return chosen;
      const backend = backends.find((candidate) => !excluded.includes(candidate.name));
      if (backend === undefined) return { kind: 'refuse', fault: NO_BACKEND };
      return {
        kind: 'dispatch',
        backend: backend.name,
        address: backend.address,
        port: backend.port,
      };
    },
    priorityOf: () => 3,
    retryAfterMs: () => 1_500,
    hasIncarnationEnded: () => false,
  });
  const feed = (event: RequestTableEvent): void => {
    for (const effect of table.step(event, context())) {
      effects.push(effect);
      if (isForServer(effect)) server.perform(effect);
      if (effect.kind === 'table') setImmediate(answerTable, effect);
    }
    for (const waiter of waiters) waiter();
  };
  const answerTable = (effect: TableEffect): void =>
    feed({ kind: 'table-result', token: effect.token, result: store.call(effect) });
  const anonymousTenant = options.anonymous === true ? 'visitors' : null;
  const server = createCallerServer({
    listen: { address: '127.0.0.1', port: 0 },
    limits: { ...DEFAULT_HTTP_LIMITS, stopIdleGraceMs: 50, ...options.limits },
    daemonName: 'd1',
    incarnation: 1,
    now,
    configuration: () => ({
      version: options.configurationVersion ?? 1,
      document: { ...DOCUMENT, anonymousTenant },
    }),
    readiness: () => ({ ready: true, reason: 'ready' }),
    metricsText: async () => 'up 1\n',
    onRefused: (reason) => refusals.push(reason),
    emit: (event) => {
      events.push(event);
      feed(event);
    },
  });
  const { port } = await server.listen();
  const eventually = (condition: () => boolean): Promise<void> =>
    new Promise((resolve) => {
      const check = (): void => {
        if (!condition()) return;
        waiters.delete(check);
        resolve();
      };
      waiters.add(check);
      check();
    });
  return {
    server,
    table,
    store,
    port,
    events,
    effects,
    refusals,
    eventually,
    tick: () => feed({ kind: 'tick' }),
    close: () => server.close(),
  };
}

function isForServer(effect: RequestTableEffect): effect is Parameters<CallerServer['perform']>[0] {
  return ['dispatch', 'refuse', 'abort', 'cancel', 'replay'].includes(effect.kind);
}

/** A backend whose HTTP answers the test scripts. */
export async function startHttpBackend(name: string, handle: RequestListener): Promise<Backend> {
  const server = createServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const close = async (): Promise<void> => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  };
  return { name, address: '127.0.0.1', port, close };
}

/** A backend that writes raw bytes. `handle` receives each request's head and body as text. */
export async function startRawBackend(
  name: string,
  handle: (socket: Socket, text: string) => void,
): Promise<Backend> {
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (!isCompleteRequest(text)) return;
      const requestText = text;
      text = '';
      handle(socket, requestText);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  };
  return { name, address: '127.0.0.1', port, close };
}

function isCompleteRequest(text: string): boolean {
  const head = text.indexOf('\r\n\r\n');
  if (head < 0) return false;
  const length = /content-length: *(\d+)/i.exec(text.slice(0, head))?.[1] ?? '0';
  return text.length >= head + 4 + Number(length);
}

/** The attempt id that a request to a backend carries. */
export function attemptOf(text: string): string {
  return /x-threadfork-attempt: *(\S+)/i.exec(text)?.[1] ?? '';
}

/** The resume offset that a request to a backend carries, or 0. */
export function resumeOffsetOf(text: string): number {
  return Number(/x-threadfork-resume-offset: *(\d+)/i.exec(text)?.[1] ?? '0');
}

/** One token's frame as an engine sends it. */
export function tokenFrame(attempt: string, offset: number, text: string, last = false): string {
  const finish = last ? '"stop"' : 'null';
  return `id: ${attempt}:${offset}\ndata: {"id":"e-${attempt}","object":"text_completion","created":1,"model":"labels","choices":[{"index":0,"text":${JSON.stringify(text)},"finish_reason":${finish}}]}\n\n`;
}

/** The frame with the token counts, and the end marker. */
export function endFrames(attempt: string, offset: number): string {
  return `id: ${attempt}:${offset}\ndata: {"id":"e-${attempt}","object":"text_completion","created":1,"model":"labels","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":${offset}}}\n\ndata: [DONE]\n\n`;
}

/** The head of an engine's streamed answer, whose body ends when the connection closes. */
export function streamHead(attempt: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-threadfork-attempt: ${attempt}\r\nconnection: close\r\n\r\n`;
}

/** The body of an unstreamed completion. */
export function completionJson(text: string): string {
  return JSON.stringify({
    id: 'cmpl-1',
    object: 'text_completion',
    created: 1,
    model: 'labels',
    choices: [{ index: 0, text, finish_reason: 'stop' }],
    usage: { prompt_tokens: 3, completion_tokens: 2, total_tokens: 5 },
  });
}

/** The answer that a caller received. `broken`: the connection closed before its end. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly broken: boolean;
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | object;
  readonly signal?: AbortSignal;
}

/** Sends a request with the test's API key. */
export function call(port: number, path: string, options: CallOptions = {}): Promise<Answer> {
  const { body, method = body === undefined ? 'GET' : 'POST' } = options;
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      {
        host: '127.0.0.1',
        port,
        path,
        method,
        agent: false,
        headers: { authorization: `Bearer ${KEY}`, ...options.headers },
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
        });
        const finish = (broken: boolean): void =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: text,
            broken,
          });
        response.on('end', () => finish(false));
        response.on('error', () => finish(true));
      },
    );
    request.on('error', reject);
    request.end(typeof body === 'object' ? JSON.stringify(body) : body);
  });
}

/** The joined texts of a completion stream's chunks. */
export function streamedText(body: string): string {
  return dataOf(body)
    .map((chunk) => chunk.choices?.[0]?.text ?? chunk.choices?.[0]?.delta?.content ?? '')
    .join('');
}

interface Chunk {
  readonly id?: string;
  readonly object?: string;
  readonly created?: number;
  readonly usage?: object;
  readonly error?: { readonly code: string; readonly outcome: string };
  readonly choices?: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
  }[];
}

/** The parsed data of a stream's events, without the end marker. */
export function dataOf(body: string): readonly Chunk[] {
  return body
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)) as Chunk);
}

/** Sends raw text to the server and returns all that it answers until the connection closes. */
export function rawCall(port: number, text: string, end = false): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(answer));
    socket.write(text, 'latin1');
    if (end) socket.end();
  });
}
