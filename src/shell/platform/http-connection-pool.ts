/**
 * One HTTP exchange with the platform. It keeps apart a request of which no byte has left from one
 * that may have taken effect, which decides whether a caller may say "not done".
 */
import { Pool } from 'undici';
import type { Milliseconds } from '../../core/common/time.js';

/** Calls in flight at most; more wait for a connection, within their time. */
export const MAX_CONNECTIONS = 8;
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** What to ask. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly contentType?: string;
}

/** How an exchange ended. */
export type Exchange =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly body: Buffer;
    }
  /** No byte of the request has left. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** Bytes may have left and no whole answer came. */
  | { readonly kind: 'lost'; readonly reason: string };

/** Where the platform listens and how long a call may take. */
export interface ExchangeOptions {
  readonly address: string;
  readonly port: number;
  /** For the whole exchange, connecting included. */
  readonly timeoutMs: Milliseconds;
}

/** Connections to one platform address. */
export class HttpConnectionPool {
  private readonly pool: Pool;

  constructor(private readonly options: ExchangeOptions) {
    this.pool = new Pool(origin(options), {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: options.timeoutMs },
    });
  }

  /** Sends one request and waits for its whole answer, at most `timeoutMs`. Never rejects. */
  exchange(request: ExchangeRequest, timeoutMs = this.options.timeoutMs): Promise<Exchange> {
    return new Promise((resolve) => {
      const handler = new ExchangeHandler(timeoutMs, resolve);
      const headers = { 'content-type': request.contentType ?? 'application/json' };
      this.pool.dispatch(
        {
          method: request.method,
          path: request.path,
          body: request.body ?? null,
          headers: request.body === undefined ? {} : headers,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        handler,
      );
    });
  }

  /** Breaks off what is in flight and closes the connections. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}

interface Controller {
  abort(reason: Error): void;
}

/** Follows one request: whether it started, its answer, its time. */
class ExchangeHandler {
  private controller: Controller | null = null;
  private ended = false;
  private status = 0;
  private headers: Readonly<Record<string, string | string[] | undefined>> = {};
  private readonly chunks: Buffer[] = [];
  private receivedBytes = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly timeoutMs: Milliseconds,
    private readonly resolve: (exchange: Exchange) => void,
  ) {
    this.timer = setTimeout(() => this.fail(`no answer within ${timeoutMs} ms`), timeoutMs);
  }

  /** Called before the first byte is written; an exchange that has ended must not start. */
  onRequestStart(controller: Controller): void {
    if (this.ended) {
      controller.abort(new Error(`not started within ${this.timeoutMs} ms`));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Controller,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Controller, chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > MAX_ANSWER_BYTES) this.fail('the answer is too large');
    else this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const body = Buffer.concat(this.chunks);
    this.end({ kind: 'answered', status: this.status, headers: this.headers, body });
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.fail(describe(error));
  }

  private fail(reason: string): void {
    const controller = this.controller;
    this.end(controller === null ? { kind: 'not-sent', reason } : { kind: 'lost', reason });
    controller?.abort(new Error(reason));
  }

  private end(exchange: Exchange): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.timer);
    this.resolve(exchange);
  }
}

function origin(options: ExchangeOptions): string {
  const host = options.address.includes(':') ? `[${options.address}]` : options.address;
  return `http://${host}:${options.port}`;
}

function describe(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
