/** Admits the requests of callers whose heads have arrived, as far as there is heap for them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Milliseconds } from '../../core/common/time.js';
import { refusedNotRun } from '../../core/errors/fault.js';
import { refuseForgotten } from './early-refusal.js';
import type { PendingAnswers } from './pending-answers.js';
import type { RefusalListener } from './refusal-log.js';
import { type RequestMemory, requestHeapBytes } from './request-memory.js';

/** Dependencies of `RequestAdmission`. */
export interface RequestAdmissionOptions {
  readonly memory: RequestMemory;
  readonly answers: PendingAnswers;
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

  constructor(options: RequestAdmissionOptions) {
    this.#options = options;
  }

  /** Admits a request, whose heap stays reserved until its answer is closed, or refuses it. */
  admit(request: IncomingMessage, response: ServerResponse, isForPage: boolean): Admission {
    const { memory, answers, onRefused } = this.#options;
    if (!answers.add(request.socket, response)) {
      request.resume();
      return 'ignored';
    }
    const heapBytes = requestHeapBytes(request);
    if (memory.tryReserve(heapBytes, isForPage)) {
      response.once('close', () => memory.release(heapBytes));
      return 'admitted';
    }
    onRefused('no-room-for-request', heapBytes);
    refuseForgotten(request, response, TOO_MANY_REQUESTS);
    return 'refused';
  }
}
