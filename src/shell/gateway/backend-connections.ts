/**
 * Connections to backends and the calls on them. Tells apart what decides whether a request may be
 * sent again: not a byte of it can have left, or it may have run.
 *
 * Connections are kept for repeatable calls only, and dropped well before the time at which the
 * server says it closes them (RFC 9112 section 9.3): a kept one that closes under a request leaves
 * open whether it ran.
 */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { RawHeaders } from './ports.js';
import type { TimerService } from './timer-service.js';

/** Kept this much shorter than the server says. */
const KEEP_MARGIN_MS = 1_000;
const LONGEST_KEEP_MS = 8_000;
/** A connection that is not up by then is not waited for. */
export const CONNECT_TIMEOUT_MS = 220;

/** One call to a backend. */
export interface BackendCall {
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether a kept connection may be used and this one be kept. */
  readonly mayKeepConnection: boolean;
  readonly connectTimeoutMs: number;
  /** Ends the call and its connection. */
  readonly signal: AbortSignal;
}

/** How a call went until the head of an answer. */
export type CallResult =
  | { readonly kind: 'answered'; readonly answer: BackendAnswer }
  /** No byte of the request can have left; `connectTimedOut` when connecting was not answered at all. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly connectTimedOut: boolean }
  /** The request may have run. */
  | { readonly kind: 'broken'; readonly reason: string };

/** The head of an answer, and its body as it comes. */
export class BackendAnswer {
  readonly message: IncomingMessage;
  readonly #request: ClientRequest;
  #isBroken = false;

  constructor(request: ClientRequest, message: IncomingMessage) {
    this.#request = request;
    this.message = message;
    // node:http takes an answer without a length as whole when its connection is reset.
    request.on('error', () => {
      this.#isBroken = true;
    });
    message.on('error', () => {
      this.#isBroken = true;
    });
    message.once('end', () => {
      if (!request.writableFinished) request.destroy();
    });
  }

  get status(): number {
    return this.message.statusCode ?? 0;
  }

  /** After the body's end: whether it came whole. */
  get isComplete(): boolean {
    return this.message.complete && !this.#isBroken;
  }

  /**
   * Whether only the end of the connection ends it (RFC 9112 section 6.3, rule 8). Nobody can tell
   * such an answer that was cut from a whole one.
   */
  get isCloseDelimited(): boolean {
    const { headers } = this.message;
    return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
  }

  /** Closes the connection; the server sees the request as given up. */
  destroy(): void {
    this.#request.destroy();
  }

  /** The whole body, or undefined when it broke off or is too large. */
  collect(maxBytes: number): Promise<Buffer | undefined> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let length = 0;
      this.message.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        if (length > maxBytes) this.destroy();
      });
      this.message.once('end', () => resolve(this.isComplete ? Buffer.concat(chunks) : undefined));
      this.message.once('close', () => resolve(undefined));
    });
  }
}

/** Keeps idle connections no longer than the server does. */
class KeepingAgent extends http.Agent {
  constructor() {
    super({ keepAlive: true, scheduling: 'lifo' });
  }

  /** Called by node:http when an answer has ended. */
  override keepSocketAlive(
    socket: Socket & { _httpMessage?: ClientRequest & { res?: IncomingMessage } },
  ) {
    super.keepSocketAlive(socket);
    const hint = /timeout=(\d+)/.exec(
      String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''),
    )?.[1];
    if (hint === undefined) return false;
    const keepMs = Math.min(LONGEST_KEEP_MS, Number(hint) * 1_000 - KEEP_MARGIN_MS);
    if (keepMs <= 0) return false;
    socket.setTimeout(keepMs);
    // Bytes after a whole answer belong to no request.
    socket.once('data', destroySocket);
    return true;
  }

  /** Called by node:http when a kept connection gets a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
    socket.removeListener('data', destroySocket);
  }
}

/** Every request names a host (RFC 9112 section 3.2); the product's own calls name the address. */
function withHost(headers: RawHeaders, address: string): string[] {
  const isNamed = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'host');
  return isNamed ? [...headers] : ['Host', address, ...headers];
}

function endpointOf(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function notSent(reason: string, connectTimedOut: boolean): CallResult {
  return { kind: 'not-sent', reason, connectTimedOut };
}

function destroySocket(this: Socket): void {
  this.destroy();
}

/** Calls backends. */
export class BackendConnections {
  readonly #timers: TimerService;
  readonly #freshAgent = new http.Agent({ keepAlive: false });
  readonly #keepingAgent = new KeepingAgent();
  /** Connections opened since the start. */
  openedTotal = 0;

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  call(call: BackendCall): Promise<CallResult> {
    return new Promise((resolve) => {
      if (call.signal.aborted) return resolve(notSent('given up', false));
      const request = this.#open(call);
      let mayHaveLeft = false;
      let connectTimedOut = false;
      let isSettled = false;
      const settle = (result: CallResult) => {
        if (isSettled) return;
        isSettled = true;
        cancelConnectTimer();
        resolve(result);
      };
      const abort = () => request.destroy();
      call.signal.addEventListener('abort', abort, { once: true });
      const cancelConnectTimer = this.#timers.after(call.connectTimeoutMs, () => {
        connectTimedOut = !mayHaveLeft;
        if (connectTimedOut) request.destroy(new Error('connecting took too long'));
      });
      request.on('socket', (socket) => {
        if (!socket.connecting) {
          mayHaveLeft = true;
          return;
        }
        this.openedTotal += 1;
        socket.once('connect', () => {
          mayHaveLeft = true;
        });
      });
      request.on('response', (message) => {
        settle({ kind: 'answered', answer: new BackendAnswer(request, message) });
      });
      const fail = (reason: string) =>
        settle(mayHaveLeft ? { kind: 'broken', reason } : notSent(reason, connectTimedOut));
      request.on('error', (error) => fail(error.message));
      request.on('close', () => {
        call.signal.removeEventListener('abort', abort);
        fail('connection closed');
      });
      request.end(call.body);
    });
  }

  /** Whether nothing listens at IP:PORT any more; false where that is not certain. */
  isRefused(address: string): Promise<boolean> {
    const { host, port } = endpointOf(address);
    return new Promise((resolve) => {
      const socket = connect(port, host);
      const settle = (isRefused: boolean) => {
        cancel();
        socket.destroy();
        resolve(isRefused);
      };
      const cancel = this.#timers.after(CONNECT_TIMEOUT_MS, () => settle(false));
      socket.once('connect', () => {
        this.openedTotal += 1;
        settle(false);
      });
      socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'));
    });
  }

  /** Closes what is kept. */
  close(): void {
    this.#keepingAgent.destroy();
    this.#freshAgent.destroy();
  }

  #open(call: BackendCall): ClientRequest {
    return http.request({
      ...endpointOf(call.address),
      method: call.method,
      path: call.path,
      headers: withHost(call.headers, call.address),
      agent: call.mayKeepConnection ? this.#keepingAgent : this.#freshAgent,
    });
  }
}
