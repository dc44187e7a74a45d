/** Ends answers that their callers do not take: each holds its body for as long as its connection is open. */
import type { ServerResponse } from 'node:http';
import { breakOffResponse } from '../http/break-off-response.js';

/** Dependencies of `UnreadAnswers`. */
export interface UnreadAnswersOptions {
  /** From the last byte that a caller takes of an answer until it is given up. */
  readonly idleTimeoutMs: () => number;
  /** Called for each answer that is given up, with the bytes that wait to be written. */
  readonly onGivenUp: (heldBytes: number) => void;
}

/** The answers of one daemon. */
export class UnreadAnswers {
  readonly #options: UnreadAnswersOptions;

  constructor(options: UnreadAnswersOptions) {
    this.#options = options;
  }

  /** Watches an answer once all of it is handed to its connection; before that, its exchange has a deadline. */
  watch(response: ServerResponse): void {
    response.once('prefinish', () => process.nextTick(() => this.#limit(response)));
  }

  /** The time-out of a connection begins anew with each part of a write that the system takes, which nothing else tells. */
  #limit(response: ServerResponse): void {
    const { socket } = response;
    if (socket === null || socket.writableLength === 0) return;
    response.setTimeout(this.#options.idleTimeoutMs(), () => {
      const heldBytes = socket.writableLength;
      if (heldBytes === 0) return;
      this.#options.onGivenUp(heldBytes);
      breakOffResponse(response);
    });
  }
}
