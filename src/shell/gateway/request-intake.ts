/**
 * What the connections of one listener may have under way: heads that are not complete, and requests that their callers sent
 * before the answers to earlier ones.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { type MemoryLedger, requestHeapBytes } from '../../core/gateway/index.js';
import type { ClientError } from '../http/client-error.js';
import { PendingAnswers } from '../http/pending-answers.js';
import type { CallerRefusals } from './caller-refusals.js';
import { ConnectionBackpressure } from './connection-backpressure.js';
import { refuseConnection, statusOf } from './connection-refusals.js';
import { HeadMonitor, type HeadRefusal } from './head-monitor.js';
import { feedInPieces } from './parser-feed.js';
import { headerSizeOf } from './request-head.js';
import type { TurnBudget } from './turn-budget.js';

/** node:http drops headers beyond a limit without a word; their bytes are limited instead. */
const NO_LIMIT = 0;
/** Requests that arrive after an answer has told that the connection closes; beyond this the connection is closed at once. */
const MAX_IGNORED_REQUESTS = 16;
const RETRY_LATER = 'Retry-After: 1';

/** Dependencies of a `RequestIntake`. */
export interface RequestIntakeOptions {
  readonly server: Server;
  readonly memory: Pick<MemoryLedger, 'growHeads' | 'shrinkHeads'>;
  /** The longest headers of a request, as they are configured. */
  readonly maxHeaderBytes: () => number;
  readonly refusals: Pick<CallerRefusals, 'record'>;
  /** Shared by all listeners of the process. */
  readonly budget: Pick<TurnBudget, 'hasTime' | 'defer'>;
}

/** The connections of one listener. */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;
  readonly #heads: HeadMonitor;
  readonly #backpressure = new ConnectionBackpressure();
  readonly answers = new PendingAnswers((socket, pending) =>
    this.#backpressure.update(socket, pending),
  );

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
    const { server, memory, maxHeaderBytes } = options;
    this.#heads = new HeadMonitor({
      memory,
      maxHeaderBytes,
      refuse: (socket, reason, heldBytes) => this.#refuseHead(socket, reason, heldBytes),
    });
    server.maxHeadersCount = NO_LIMIT;
    server.on('connection', (socket: Socket) => this.#watch(socket));
    server.on('clientError', (error: ClientError, socket: Socket) =>
      this.#handleClientError(error, socket),
    );
  }

  /**
   * Takes a request whose head is complete.
   * @returns whether it is to be handled. node:http goes on to parse what it has read of a connection that was closed, or on
   *   which nothing follows
   */
  accept(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    if (socket.destroyed) return false;
    this.#heads.recordRequest(request);
    if (this.answers.add(socket, response)) return true;
    request.resume();
    this.#backpressure.stop(socket);
    if (this.answers.ignoredOf(socket) > MAX_IGNORED_REQUESTS) this.closePipelined(request);
    return false;
  }

  /** Whether the connection of a request owes answers to earlier ones. */
  isPipelined({ socket }: IncomingMessage): boolean {
    return this.answers.countOf(socket) > 1;
  }

  /** Returns what records each piece of a request's body, by its length. */
  bodyRecorder(request: IncomingMessage): (bytes: number) => void {
    return this.#heads.bodyRecorder(request);
  }

  /** Closes the connection of a request that is not taken: its answer would wait for others and hold memory. */
  closePipelined(request: IncomingMessage): void {
    const { socket } = request;
    const requests = this.answers.countOf(socket) + this.answers.ignoredOf(socket);
    const heldBytes = requests * requestHeapBytes(headerSizeOf(request));
    this.#options.refusals.record('pipelined-too-many', heldBytes);
    socket.destroy();
  }

  #watch(socket: Socket): void {
    this.#heads.watch(socket);
    feedInPieces(socket, {
      isHeld: (one) => this.#backpressure.isHeld(one),
      isReadingBody: (one) => this.#heads.isReadingBody(one),
      onPiece: (one, piece) => this.#heads.recordPiece(one, piece),
      budget: this.#options.budget,
    });
  }

  #refuseHead(socket: Socket, reason: HeadRefusal, heldBytes: number): void {
    this.#options.refusals.record(reason, heldBytes);
    if (reason === 'head-too-large') refuseConnection(socket, this.answers, 431);
    else refuseConnection(socket, this.answers, 503, [RETRY_LATER]);
  }

  /** A head may be late because its connection is not read. */
  #handleClientError(error: ClientError, socket: Socket): void {
    const status = statusOf(error);
    if (status === 408 && this.#backpressure.isHeld(socket)) return;
    if (status === 408) this.#options.refusals.record('head-timed-out', 0);
    refuseConnection(socket, this.answers, status);
  }
}
