/**
 * HTTP exchanges over a connection pool. A request of which no byte was sent is distinguished from one
 * that may have taken effect: only the former may be reported as not carried out.
 */
import { Pool } from 'undici';
import type { Milliseconds } from '../../core/common/time.js';
import { ByteCollector } from '../bytes/index.js';

/** Maximum number of calls in flight. Further calls wait for a connection within their timeout. */
export const MAX_CONNECTIONS = 8;
/** The default of `maxAnswerBytes`: more than the largest object of the store. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** An HTTP request. */
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
  /** No byte of the request was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** Bytes may have been sent and no complete answer arrived. */
  | { readonly kind: 'lost'; readonly reason: string };

/** The server's address and the timeout of a call. */
export interface ExchangeOptions {
  readonly address: string;
  readonly port: number;
  /** Timeout of the complete exchange, including the connection set-up. */
  readonly timeoutMs: Milliseconds;
  /** An exchange with a longer answer fails. */
  readonly maxAnswerBytes?: number;
}

/** A pool of connections to one address. */
export class HttpConnectionPool {
  private readonly pool: Pool;
  private readonly maxAnswerBytes: number;

  constructor(private readonly options: ExchangeOptions) {
    this.maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES;
    this.pool = new Pool(originOf(options), {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: options.timeoutMs },
    });
  }

  /** Sends one request and waits up to `timeoutMs` for its complete answer. Never rejects. */
  exchange(request: ExchangeRequest, timeoutMs = this.options.timeoutMs): Promise<Exchange> {
    return new Promise((resolve) => {
      const handler = new ExchangeHandler(timeoutMs, this.maxAnswerBytes, resolve);
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

  /** Aborts the exchanges in flight and closes the connections. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}

interface Controller {
  abort(reason: Error): void;
}

/** Handler of one request: records whether it was started, collects its answer, applies the timeout. */
class ExchangeHandler {
  private controller: Controller | null = null;
  private ended = false;
  private status = 0;
  private headers: Readonly<Record<string, string | string[] | undefined>> = {};
  private readonly body = new ByteCollector();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly timeoutMs: Milliseconds,
    private readonly maxAnswerBytes: number,
    private readonly resolve: (exchange: Exchange) => void,
  ) {
    this.timer = setTimeout(() => this.fail(`no answer within ${timeoutMs} ms`), timeoutMs);
  }

  /** Called before the first byte is written. Aborts the request if its exchange has timed out. */
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
    if (this.ended) return;
    const isTooLarge = this.body.length + chunk.length > this.maxAnswerBytes;
    if (isTooLarge) this.fail('the answer is too large');
    else this.body.add(chunk);
  }

  onResponseEnd(): void {
    const { status, headers } = this;
    this.end({ kind: 'answered', status, headers, body: this.body.join() });
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.fail(describeError(error));
  }

  private fail(reason: string): void {
    const controller = this.controller;
    this.end(controller === null ? { kind: 'not-sent', reason } : { kind: 'lost', reason });
    controller?.abort(new Error(reason));
  }

  private end(exchange: Exchange): void {
    if (this.ended) return;
    this.ended = true;
    this.body.clear();
    clearTimeout(this.timer);
    this.resolve(exchange);
  }
}

function originOf(options: ExchangeOptions): string {
  const host = options.address.includes(':') ? `[${options.address}]` : options.address;
  return `http://${host}:${options.port}`;
}

function describeError(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
