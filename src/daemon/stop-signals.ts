/**
 * Queues the stop signals of the process, in order of arrival, until they are awaited. Requests for a reload (SIGHUP) are
 * only counted: the system's default for them would end the process.
 */
import { EventEmitter, on } from 'node:events';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const RELOAD_SIGNAL = 'SIGHUP';
const RECEIVED = 'received';

/** Handles the process's stop signals and requests for a reload until it is closed. */
export class StopSignals {
  readonly #emitter = new EventEmitter();
  readonly #received = on(this.#emitter, RECEIVED);
  readonly #onSignal = (): void => void this.#emitter.emit(RECEIVED);
  readonly #onReload = (): void => this.#handleReload();
  #handleReload: () => void = () => {
    this.#reloadsBefore += 1;
  };
  /** Requests for a reload before anything handled them. */
  #reloadsBefore = 0;

  constructor() {
    for (const name of STOP_SIGNALS) process.on(name, this.#onSignal);
    process.on(RELOAD_SIGNAL, this.#onReload);
  }

  /** Calls `handle` for each request for a reload, those before this call included. */
  onReload(handle: () => void): void {
    this.#handleReload = handle;
    for (; this.#reloadsBefore > 0; this.#reloadsBefore -= 1) handle();
  }

  /** Resolves at the next signal, or immediately if one is queued. */
  async next(): Promise<void> {
    await this.#received.next();
  }

  /** Removes the signal handlers. */
  close(): void {
    for (const name of STOP_SIGNALS) process.off(name, this.#onSignal);
    process.off(RELOAD_SIGNAL, this.#onReload);
  }
}
