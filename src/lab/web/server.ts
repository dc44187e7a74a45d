/**
 * An emulated web backend: a sheet viewer (GET: tiles by path) and an order server (POST:
 * renewals and dispatch slips, counted by the header `x-request-key`).
 */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type ServerResponse,
} from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import type { Endpoint } from '../../core/registry/backend.js';
import { resetSocket } from '../../shell/http/reset-socket.js';
import { closeListener, openListener } from '../common/listener.js';
import { tileContent } from './content.js';
import { OrderLedger } from './order-ledger.js';

/** Options of `createWebBackendServer`. */
export interface WebBackendOptions {
  /** An IP address and a port; port 0 selects a free port. */
  readonly listen: Endpoint;
  readonly name: string;
  /** Processing time of one request. */
  readonly serviceMs?: number;
  readonly tileBytes?: number;
}

/** A running web backend. */
export interface WebBackendServer {
  readonly endpoint: Endpoint;
  /** The ledger that `GET /ledger` returns. */
  readonly ledger: OrderLedger;
  /** Answers `/healthz` with 503 and closes each connection after its answer. */
  leave(): void;
  /** Closes the server and all its connections. */
  close(): Promise<void>;
}

/** The body of `POST /faults`, for tests: a fault to inject into the next order. */
const webFaultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('break-before-run') }),
  z.strictObject({ kind: z.literal('break-after-run') }),
  z.strictObject({ kind: z.literal('stall'), forMs: z.int().min(0).max(3_600_000) }),
]);
type WebFault = z.infer<typeof webFaultSchema>;

const DEFAULT_SERVICE_MS = 2;
const DEFAULT_TILE_BYTES = 16_384;
const MAX_BODY_BYTES = 1024 * 1024;

/** Starts a web backend. */
export async function createWebBackendServer(
  options: WebBackendOptions,
): Promise<WebBackendServer> {
  const backend = new WebBackend(options);
  const server = createServer((request, response) => {
    backend.handle(request, response).catch((error: unknown) => response.destroy(error as Error));
  });
  const endpoint = await openListener(server, options.listen);
  return {
    endpoint,
    ledger: backend.ledger,
    leave: () => backend.leave(),
    close: () => closeListener(server),
  };
}

class WebBackend {
  readonly ledger = new OrderLedger();
  readonly #options: WebBackendOptions;
  readonly #faults: WebFault[] = [];
  #leaving = false;

  constructor(options: WebBackendOptions) {
    this.#options = options;
  }

  leave(): void {
    this.#leaving = true;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    if (path === '/healthz') return this.#sendHealth(response);
    if (path === '/ledger') return this.#sendJson(response, 200, this.ledger.page());
    if (path === '/leave' && request.method === 'POST') return this.#sendLeave(request, response);
    if (path === '/faults' && request.method === 'POST') return this.#armFault(request, response);
    if (request.method === 'POST') return this.#runOrder(path, request, response);
    await this.#waitServiceTime();
    const tile = tileContent(path, this.#options.tileBytes ?? DEFAULT_TILE_BYTES);
    this.#send(response, 200, tile, { 'content-type': 'text/plain' });
  }

  #sendHealth(response: ServerResponse): void {
    const status = this.#leaving ? 503 : 200;
    this.#sendJson(response, status, { status: this.#leaving ? 'leaving' : 'ok' });
  }

  async #sendLeave(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request);
    this.leave();
    this.#sendJson(response, 200, { leaving: true });
  }

  async #armFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const bytes = await readBody(request);
    const fault = webFaultSchema.safeParse(parseJson(bytes));
    if (!fault.success) return this.#sendJson(response, 400, { error: fault.error.message });
    this.#faults.push(fault.data);
    this.#sendJson(response, 200, { armed: fault.data.kind });
  }

  #resetConnection(response: ServerResponse): void {
    if (response.socket !== null) resetSocket(response.socket);
  }

  /** Runs the order when its body is complete; the run counts even if the caller has disconnected. */
  async #runOrder(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const key = request.headers['x-request-key'];
    const bytes = await readBody(request);
    if (bytes === null) return this.#sendJson(response, 413, { error: 'body too large' });
    if (typeof key !== 'string')
      return this.#sendJson(response, 400, { error: 'no x-request-key' });
    const fault = this.#faults.shift() ?? null;
    if (fault?.kind === 'break-before-run') return this.#resetConnection(response);
    const runs = this.ledger.recordRun(key, path);
    if (fault?.kind === 'break-after-run') return this.#resetConnection(response);
    if (fault?.kind === 'stall') await delay(fault.forMs);
    await this.#waitServiceTime();
    this.#sendJson(response, 200, { key, path, runs, by: this.#options.name });
  }

  async #waitServiceTime(): Promise<void> {
    await delay(this.#options.serviceMs ?? DEFAULT_SERVICE_MS);
  }

  #sendJson(response: ServerResponse, status: number, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify(body));
    this.#send(response, status, bytes, { 'content-type': 'application/json' });
  }

  #send(
    response: ServerResponse,
    status: number,
    bytes: Buffer,
    headers: OutgoingHttpHeaders,
  ): void {
    if (this.#leaving) response.setHeader('connection', 'close');
    response.setHeader('x-backend', this.#options.name);
    response.writeHead(status, { 'content-length': bytes.length, ...headers });
    response.end(bytes);
  }
}

function parseJson(bytes: Buffer | null): unknown {
  try {
    return JSON.parse(bytes?.toString('utf8') ?? '');
  } catch {
    return null;
  }
}

/** Reads a body to its end; null if it is too large. */
async function readBody(request: IncomingMessage): Promise<Buffer | null> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length <= MAX_BODY_BYTES) chunks.push(bytes);
  }
  return length <= MAX_BODY_BYTES ? Buffer.concat(chunks) : null;
}
