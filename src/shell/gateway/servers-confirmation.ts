/**
 * Has the store confirm the list of servers for streams whose version too few daemons know. One read serves all streams
 * that wait for it, as many break together when a daemon dies.
 */
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService } from './timer-service.js';

/** The shortest time from the start of a read to that of the next. */
const MIN_INTERVAL_MS = 250;
/** A caller waits at most this long for a read. */
const READ_TIMEOUT_MS = 150;

/** Dependencies of a `ServersConfirmation`. */
export interface ServersConfirmationOptions {
  /** Reads the list from the store; resolves to whether it was applied within the limit. */
  readonly readServers: (limitMs: number) => Promise<boolean>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The confirmations of one daemon. */
export class ServersConfirmation {
  readonly #options: ServersConfirmationOptions;
  readonly #stopped = new AbortController();
  /** A read that has not begun. */
  #next: Promise<boolean> | undefined;
  #lastStartedMs = Number.NEGATIVE_INFINITY;

  constructor(options: ServersConfirmationOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Resolves to whether the list holds all that the store held at some moment after the call. */
  confirm(): Promise<boolean> {
    this.#next ??= this.#readInTurn();
    return this.#next;
  }

  async #readInTurn(): Promise<boolean> {
    const { readServers, timers, log } = this.#options;
    const waitMs = Math.max(0, this.#lastStartedMs + MIN_INTERVAL_MS - timers.nowMs());
    await delay(timers, waitMs, this.#stopped.signal);
    this.#next = undefined;
    this.#lastStartedMs = timers.nowMs();
    const isConfirmed = await readServers(READ_TIMEOUT_MS);
    const tookMs = Math.round(timers.nowMs() - this.#lastStartedMs);
    log.write(DEPARTURE_EVENTS.serversConfirmed, { isConfirmed, tookMs });
    return isConfirmed;
  }
}
