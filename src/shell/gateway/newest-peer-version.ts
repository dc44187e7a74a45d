/**
 * Tracks the newest configuration version that other daemons report to have in force. A daemon that stays behind it for
 * longer than its own watch normally takes to deliver a change rereads the configuration, even if the watch appears
 * current.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const INTERVAL_GROWTH = 2;
/** The longest time between rereads for a version that the store does not return. */
const MAX_REREAD_INTERVAL_MS = 60_000;

/** Dependencies and settings of a `NewestPeerVersion`. */
export interface NewestPeerVersionOptions {
  /** The version that this daemon has in force; 0 for none. */
  readonly inForce: () => number;
  /** Rereads the configuration from the store at once. */
  readonly reread: () => void;
  /** How long this daemon may normally be behind other daemons. */
  readonly graceMs: number;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Remembers the newest reported version, and rereads the configuration while this daemon is behind. */
export class NewestPeerVersion {
  readonly #options: NewestPeerVersionOptions;
  #highest = 0;
  #receivedMs = 0;
  #from = '';
  #isBehind = false;
  #cancelReread: CancelTimer | undefined;

  constructor(options: NewestPeerVersionOptions) {
    this.#options = options;
  }

  /** The newest version that any daemon, including this one, is known to have in force. */
  get highest(): number {
    return Math.max(this.#highest, this.#options.inForce());
  }

  /** Records the version that another daemon reports to have in force. */
  record(version: number, from: string): void {
    if (version <= this.highest) return;
    const { timers, graceMs } = this.#options;
    this.#highest = version;
    this.#from = from;
    if (this.#cancelReread !== undefined) return;
    this.#receivedMs = timers.nowMs();
    this.#rereadAfter(graceMs);
  }

  /** Records that this daemon has another version in force. */
  recordInForce(version: number): void {
    if (version < this.#highest) return;
    this.#cancelReread?.();
    this.#cancelReread = undefined;
    if (!this.#isBehind) return;
    this.#isBehind = false;
    this.#options.log.write(GATEWAY_EVENTS.configurationCaughtUp, {
      configurationVersion: version,
      behindForMs: Math.round(this.#options.timers.nowMs() - this.#receivedMs),
    });
  }

  stop(): void {
    this.#cancelReread?.();
    this.#cancelReread = undefined;
  }

  #rereadAfter(intervalMs: number): void {
    const { timers, reread } = this.#options;
    this.#cancelReread = timers.after(intervalMs, () => {
      this.#logBehind();
      this.#rereadAfter(Math.min(MAX_REREAD_INTERVAL_MS, intervalMs * INTERVAL_GROWTH));
      reread();
    });
  }

  #logBehind(): void {
    if (this.#isBehind) return;
    this.#isBehind = true;
    const { inForce, log, timers } = this.#options;
    log.write(GATEWAY_EVENTS.configurationBehind, {
      configurationVersion: inForce(),
      heardVersion: this.#highest,
      from: this.#from,
      heardForMs: Math.round(timers.nowMs() - this.#receivedMs),
    });
  }
}
