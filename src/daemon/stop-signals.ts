/**
 * Queues the stop signals of the process, in order of arrival, until they are awaited.
 */
import { EventEmitter, on } from 'node:events';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const RECEIVED = 'received';

/** Handles the process's stop signals until it is closed. */
export class StopSignals {
  readonly #emitter = new EventEmitter();
  readonly #received = on(this.#emitter, RECEIVED);
  readonly #onSignal = (): void => void this.#emitter.emit(RECEIVED);

  constructor() {
    for (const name of STOP_SIGNALS) process.on(name, this.#onSignal);
  }

  /** Resolves at the next signal, or immediately if one is queued. */
  async next(): Promise<void> {
    await this.#received.next();
  }

  /** Removes the signal handlers. */
  close(): void {
    for (const name of STOP_SIGNALS) process.off(name, this.#onSignal);
  }
}
