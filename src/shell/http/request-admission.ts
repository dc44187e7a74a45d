/** Admits the requests of callers whose heads have arrived, as far as there is heap for them, and few of one connection. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../core/common/time.js';
import { refusedNotRun } from '../../core/errors/fault.js';
import { refuseForgotten } from './early-refusal.js';
import type { PendingAnswers } from './pending-answers.js';
import { PipelinedRequests } from './pipelined-requests.js';
import type { RefusalListener } from './refusal-log.js';
import { type RequestMemory, requestHeapBytes } from './request-memory.js';

/** Dependencies of `RequestAdmission`. */
export interface RequestAdmissionOptions {
  readonly memory: RequestMemory;
  readonly answers: PendingAnswers;
  /** Open requests of one connection, from which on reading from it pauses. */
  readonly maxPipelinedRequests: number;
  readonly onRefused: RefusalListener;
}

/** `refused`: it has its answer. `ignored`: an answer before it has told the caller that it would not be run. */
export type Admission = 'admitted' | 'refused' | 'ignored';

const OVERLOADED_RETRY_AFTER_MS: Milliseconds = 1_000;
const TOO_MANY_REQUESTS = refusedNotRun(
  'overloaded',
  'Too many requests are under way here at once. Try again after the time in Retry-After.',
  { retryAfterMs: OVERLOADED_RETRY_AFTER_MS },
);

/** The admission of one server. */
export class RequestAdmission {
  readonly #options: RequestAdmissionOptions;
  readonly #pipelined: PipelinedRequests;

  constructor(options: RequestAdmissionOptions) {
    this.#options = options;
    this.#pipelined = new PipelinedRequests(options.maxPipelinedRequests);
  }

  /** Reads a connection that was accepted as far as its requests are admitted. */
  watch(socket: Socket): void {
    this.#pipelined.watch(socket);
  }

  /** Admits a request, whose heap stays reserved until its answer is closed, or refuses it. */
  admit(request: IncomingMessage, response: ServerResponse, isForPage: boolean): Admission {
    const { memory, answers } = this.#options;
    const { socket } = request;
    // The parser goes on to the end of a piece although the connection has been closed within it.
    if (socket.destroyed) return 'ignored';
    if (!answers.add(socket, response)) {
      request.resume();
      this.#pipelined.ignore(socket);
      return 'ignored';
    }
    this.#pipelined.add(request, response);
    const heapBytes = requestHeapBytes(request);
    if (memory.tryReserve(heapBytes, isForPage)) {
      response.once('close', () => memory.release(heapBytes));
      return 'admitted';
    }
    this.#refuse(request, response, heapBytes);
    return 'refused';
  }

  /** The answer waits for those before it on its connection, and so would the ones after it: it is the last one. */
  #refuse(request: IncomingMessage, response: ServerResponse, heapBytes: number): void {
    this.#options.onRefused('no-room-for-request', heapBytes);
    if (this.#pipelined.hasSeveral(request.socket)) response.shouldKeepAlive = false;
    refuseForgotten(request, response, TOO_MANY_REQUESTS);
  }
}
