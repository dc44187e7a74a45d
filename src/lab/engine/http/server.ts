/** An emulated engine behind HTTP, as specified in docs/ENGINE-API.md. */
import { EventEmitter, once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Endpoint } from '../../../core/registry/backend.js';
import { closeListener, openListener } from '../../common/listener.js';
import type { EngineModel } from '../engine-model.js';
import { sendInvalid, sendJson } from './answers.js';
import { readJson } from './bodies.js';
import { type CompletionKind, handleCompletion } from './completions.js';
import * as control from './control.js';
import { EngineHost, type EngineHostOptions } from './engine-host.js';

/** Options of `createEngineServer`. */
export interface EngineServerOptions extends EngineHostOptions {
  /** An IP address and a port; port 0 selects a free port. */
  readonly listen: Endpoint;
}

/** A running emulated engine. */
export interface EngineServer {
  readonly endpoint: Endpoint;
  /** The model of the current boot. */
  readonly model: EngineModel;
  /** Drops all connections and restarts after `downMs` as a new boot. */
  crash(downMs: number): void;
  /** Resolves at the next restart after a crash. */
  restarted(): Promise<void>;
  /** Closes the server and all its connections. */
  close(): Promise<void>;
}

/** Starts an emulated engine. */
export async function createEngineServer(options: EngineServerOptions): Promise<EngineServer> {
  const { listen, ...hostOptions } = options;
  const process = new EngineProcess(hostOptions);
  await process.open(listen);
  return process;
}

/** The emulated process: a host that can crash and restart on the same endpoint. */
class EngineProcess implements EngineServer {
  readonly #host: EngineHost;
  readonly #server: Server;
  readonly #events = new EventEmitter();
  #endpoint: Endpoint = { address: '', port: 0 };
  #restartTimer: NodeJS.Timeout | null = null;
  #closed = false;

  constructor(options: EngineHostOptions) {
    const host = new EngineHost(options, (downMs) => this.crash(downMs));
    this.#host = host;
    this.#server = createServer((request, response) => {
      route(host, request, response).catch((error: unknown) => response.destroy(error as Error));
    });
  }

  get endpoint(): Endpoint {
    return this.#endpoint;
  }

  get model(): EngineModel {
    return this.#host.model;
  }

  async open(listen: Endpoint): Promise<void> {
    this.#endpoint = await openListener(this.#server, listen);
  }

  crash(downMs: number): void {
    if (this.#closed || this.#restartTimer !== null) return;
    this.#host.stop();
    void closeListener(this.#server);
    this.#restartTimer = setTimeout(() => void this.#restart(), downMs);
  }

  async restarted(): Promise<void> {
    await once(this.#events, 'restarted');
  }

  async close(): Promise<void> {
    this.#closed = true;
    if (this.#restartTimer !== null) clearTimeout(this.#restartTimer);
    this.#host.stop();
    if (this.#server.listening) await closeListener(this.#server);
  }

  async #restart(): Promise<void> {
    this.#host.restart();
    await openListener(this.#server, this.#endpoint);
    this.#restartTimer = null;
    if (this.#closed) await closeListener(this.#server);
    this.#events.emit('restarted');
  }
}

interface Exchange {
  readonly host: EngineHost;
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

type Handler = (exchange: Exchange) => void | Promise<void>;

const ROUTES: ReadonlyMap<string, Handler> = new Map<string, Handler>([
  ['POST /v1/completions', completion('completion')],
  ['POST /v1/chat/completions', completion('chat')],
  ['POST /v1/prefill', completion('prefill')],
  ['POST /control/orders', withBody(control.handleOrder)],
  ['POST /control/cancel', withBody(control.handleCancel)],
  ['POST /control/kv/import', withBody(control.handleKvImport)],
  ['POST /faults', withBody(control.handleFaults)],
  ['POST /leave', withBody(handleLeave)],
  ['GET /control/report', ({ host, response }) => control.handleReport(host, response)],
  ['GET /control/cache-events', handleCacheEvents],
  ['GET /ledger', ({ host, response }) => sendJson(response, 200, host.ledger.page())],
  ['GET /healthz', ({ response }) => sendJson(response, 200, { status: 'ok' })],
]);

const ORDER_PATH = '/control/orders/';
const KV_EXPORT_PATH = '/control/kv/export/';

async function route(
  host: EngineHost,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://engine');
  const handler = ROUTES.get(`${request.method} ${url.pathname}`) ?? handlerOfItem(url.pathname);
  await handler({ host, url, request, response });
}

function handlerOfItem(path: string): Handler {
  if (path.startsWith(ORDER_PATH)) {
    const id = decodeURIComponent(path.slice(ORDER_PATH.length));
    return ({ host, response }) => control.handleOrderState(host, id, response);
  }
  if (path.startsWith(KV_EXPORT_PATH)) {
    const handle = decodeURIComponent(path.slice(KV_EXPORT_PATH.length));
    return ({ host, response }) => control.handleKvExport(host, handle, response);
  }
  return ({ response }) => sendNotFound(response);
}

function completion(kind: CompletionKind): Handler {
  return ({ host, request, response }) => handleCompletion(host, kind, request, response);
}

function withBody(
  handle: (host: EngineHost, body: unknown, response: ServerResponse) => void | Promise<void>,
): Handler {
  return async ({ host, request, response }) => {
    const body = await readJson(request);
    if (body.isErr()) sendInvalid(response, body.error);
    else await handle(host, body.value, response);
  };
}

function handleCacheEvents({ host, url, response }: Exchange): void {
  control.handleCacheEvents(host, url.searchParams.get('after') ?? '0', response);
}

function handleLeave(host: EngineHost, _body: unknown, response: ServerResponse): void {
  host.model.setLeaving(true);
  sendJson(response, 200, { leaving: true });
}

function sendNotFound(response: ServerResponse): void {
  const message = 'see docs/ENGINE-API.md for the paths';
  sendJson(response, 404, { error: { code: 'unknown-path', message } });
}
