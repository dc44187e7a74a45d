/**
 * Connections to backends and the calls on them. A failed call reports whether the request may be sent again: either
 * no byte of it can have been sent, or it may have run.
 *
 * Connections are reused for repeatable calls only, and closed well before the server's own keep-alive time-out
 * (RFC 9112 section 9.3): when a reused connection closes while a request is sent on it, whether that request ran is
 * unknown.
 *
 * An aborted call ends at once. Its connection may stay open for a moment longer, as its server may be about to answer
 * that it wants no further requests. A connection without an answer is then reset: after a normal close the system goes
 * on sending, and a server behind a network that held the request would receive it long after it was given up.
 */

import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { CONNECT_TIMEOUT_MS, type MemoryLedger } from '../../core/gateway/index.js';
import { HeldBytes, limitAnswerHead } from '../bytes/index.js';
import { IdleGuardAgent } from '../http/idle-guard-agent.js';
import { resetSocket } from '../http/reset-socket.js';
import { answerFlaw } from './answer-flaw.js';
import { type AnswerContext, BackendAnswer } from './backend-answer.js';
import type { RawHeaders } from './ports.js';
import { ReadTurns } from './read-turns.js';
import type { TimerService } from './timer-service.js';

/** Idle connections are closed this much before the server's keep-alive time-out. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MAX_KEEP_ALIVE_MS = 8_000;
/** Maximum number of connections kept open for late answers; beyond it, aborted calls close theirs at once. */
const MAX_AWAITED_LATE = 256;

/** One call to a backend. */
export interface BackendCall {
  /** IP:PORT. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether an idle connection may be reused, and this one be kept for reuse. */
  readonly mayKeepConnection: boolean;
  readonly connectTimeoutMs: number;
  /** Called when a new connection for the call is established. */
  readonly onConnected?: () => void;
  /** Aborts the call and closes its connection, after the wait for a late answer if there is one. */
  readonly signal: AbortSignal;
  /** Undefined where an answer that arrives after the abort is of no use. */
  readonly lateAnswer?: LateAnswer;
}

/** What is done about an answer to a call that was aborted before the answer arrived. */
export interface LateAnswer {
  /** The longest time from now for which the connection stays open; 0 closes it at once. */
  readonly waitMs: () => number;
  /** Receives the answer, which has to be read to its end or destroyed. */
  readonly onAnswer: (answer: BackendAnswer) => void;
}

/** The result of a call up to the response headers. */
export type CallResult =
  | { readonly kind: 'answered'; readonly answer: BackendAnswer }
  /**
   * No byte of the request can have been sent; `connectTimedOut` when the connection was neither accepted nor refused, and
   * `isUnsendable` when none was opened, as the call does not fit the protocol.
   */
  | {
      readonly kind: 'not-sent';
      readonly reason: string;
      readonly connectTimedOut: boolean;
      readonly isUnsendable?: true;
    }
  /** The request may have run; what came, if anything did, is no answer. */
  | { readonly kind: 'broken'; readonly reason: string };

/** What came of opening a connection; `unanswered` where it was neither accepted nor refused. */
export type ConnectOutcome = 'accepted' | 'refused' | 'unanswered';

/** Closes idle connections before the server does. */
class KeepAliveAgent extends IdleGuardAgent {
  /** Called by node:http when an answer has ended. */
  override keepSocketAlive(
    socket: Socket & { _httpMessage?: ClientRequest & { res?: IncomingMessage } },
  ) {
    super.keepSocketAlive(socket);
    const hint = /timeout=(\d+)/.exec(
      String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''),
    )?.[1];
    if (hint === undefined) return false;
    const keepMs = Math.min(MAX_KEEP_ALIVE_MS, Number(hint) * 1_000 - KEEP_ALIVE_MARGIN_MS);
    if (keepMs <= 0) return false;
    socket.setTimeout(keepMs);
    return true;
  }

  /** Called by node:http when an idle connection is reused for a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
  }
}

/** Every request needs a Host header (RFC 9112 section 3.2); the gateway's own calls use the server's address. */
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

function unsendable({ message }: Error): CallResult {
  const reason = `the call cannot be sent: ${message}`;
  return { kind: 'not-sent', reason, connectTimedOut: false, isUnsendable: true };
}

/** Node.js throws on a value that does not fit the protocol; a call reports that as its result. */
function tryTo<Value>(open: () => Value): Value | Error {
  try {
    return open();
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error));
  }
}

/** Ends a call that has no answer; what its server has not received is discarded. */
function abandon(request: ClientRequest, reason?: Error): void {
  const { socket } = request;
  if (socket !== null && !socket.destroyed) resetSocket(socket);
  request.destroy(reason);
}

/** Calls backends. */
export class BackendConnections implements AnswerContext {
  readonly #timers: TimerService;
  readonly #freshAgent = new http.Agent({ keepAlive: false });
  readonly #keepAliveAgent = new KeepAliveAgent();
  /** Calls that have no answer, including aborted ones that wait for a late answer. */
  readonly #unanswered = new Set<ClientRequest>();
  #awaitedLate = 0;
  /** What is held while answers are collected. */
  readonly held = new HeldBytes();
  readonly turns = new ReadTurns();
  readonly memory: Pick<MemoryLedger, 'open'>;
  /** Connections opened since the process started. */
  openedTotal = 0;

  constructor(timers: TimerService, memory: Pick<MemoryLedger, 'open'>) {
    this.#timers = timers;
    this.memory = memory;
  }

  call(call: BackendCall): Promise<CallResult> {
    return new Promise((resolve) => {
      if (call.signal.aborted) return resolve(notSent('given up', false));
      const request = this.#tryOpen(call);
      if (request instanceof Error) return resolve(unsendable(request));
      this.#unanswered.add(request);
      limitAnswerHead(request);
      let mayHaveSent = false;
      let connectTimedOut = false;
      let isSettled = false;
      const settle = (result: CallResult) => {
        if (isSettled) return;
        isSettled = true;
        cancelConnectTimer();
        resolve(result);
      };
      const abort = () => {
        const isWaiting = !isSettled && this.#awaitLateAnswer(request, call.lateAnswer);
        if (isWaiting) settle({ kind: 'broken', reason: 'given up' });
        else if (this.#unanswered.has(request)) abandon(request);
        else request.destroy();
      };
      call.signal.addEventListener('abort', abort, { once: true });
      const cancelConnectTimer = this.#timers.after(call.connectTimeoutMs, () => {
        connectTimedOut = !mayHaveSent;
        if (connectTimedOut) abandon(request, new Error('connecting took too long'));
      });
      request.on('socket', (socket) => {
        if (request.reusedSocket) {
          mayHaveSent = true;
          return;
        }
        // A connection that could not be opened, as no descriptor or route was left, has failed by now.
        if (socket.destroyed) return;
        this.openedTotal += 1;
        socket.once('connect', () => {
          mayHaveSent = true;
          call.onConnected?.();
        });
      });
      request.on('response', (message) => {
        this.#unanswered.delete(request);
        const flaw = answerFlaw(request.method, message);
        if (flaw !== undefined) {
          settle({ kind: 'broken', reason: flaw });
          request.destroy();
          return;
        }
        const answer = new BackendAnswer(request, message, this.#timers, this);
        if (isSettled) call.lateAnswer?.onAnswer(answer);
        else settle({ kind: 'answered', answer });
      });
      const fail = (reason: string) =>
        settle(mayHaveSent ? { kind: 'broken', reason } : notSent(reason, connectTimedOut));
      request.on('error', (error) => fail(error.message));
      request.on('close', () => {
        call.signal.removeEventListener('abort', abort);
        this.#unanswered.delete(request);
        fail('connection closed');
      });
      request.end(call.body);
    });
  }

  /** Opens a connection to IP:PORT and closes it at once. */
  tryConnect(address: string): Promise<ConnectOutcome> {
    const { host, port } = endpointOf(address);
    return new Promise((resolve) => {
      const socket = tryTo(() => connect(port, host));
      if (socket instanceof Error) return resolve('unanswered');
      const settle = (outcome: ConnectOutcome) => {
        cancel();
        socket.destroy();
        resolve(outcome);
      };
      const cancel = this.#timers.after(CONNECT_TIMEOUT_MS, () => settle('unanswered'));
      socket.once('connect', () => {
        this.openedTotal += 1;
        settle('accepted');
      });
      socket.once('error', (error: NodeJS.ErrnoException) =>
        settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered'),
      );
    });
  }

  /** Ends all calls and closes all connections. */
  close(): void {
    for (const request of this.#unanswered) abandon(request);
    this.#keepAliveAgent.destroy();
    this.#freshAgent.destroy();
  }

  /**
   * Keeps the connection of an aborted call open for its answer; false where the call does not wait for one. A request
   * that was not sent completely is not waited for, as its server must not receive the rest.
   */
  #awaitLateAnswer(request: ClientRequest, lateAnswer: LateAnswer | undefined): boolean {
    const waitMs = lateAnswer?.waitMs() ?? 0;
    const mayWait = request.writableFinished && this.#awaitedLate < MAX_AWAITED_LATE;
    if (waitMs <= 0 || !mayWait) return false;
    this.#awaitedLate += 1;
    const cancelClose = this.#timers.after(waitMs, () => abandon(request));
    request.once('close', () => {
      this.#awaitedLate -= 1;
      cancelClose();
    });
    return true;
  }

  /** @returns an error where the address, the path or a header cannot be sent */
  #tryOpen(call: BackendCall): ClientRequest | Error {
    return tryTo(() =>
      http.request({
        ...endpointOf(call.address),
        method: call.method,
        path: call.path,
        headers: withHost(call.headers, call.address),
        agent: call.mayKeepConnection ? this.#keepAliveAgent : this.#freshAgent,
      }),
    );
  }
}
