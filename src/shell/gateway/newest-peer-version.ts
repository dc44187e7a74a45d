/**
 * The newest version of the configuration that other daemons say they have in force. One that is behind of it for
 * longer than it takes to hear of a change by itself looks for it, whatever its own watch believes to have seen.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const GAP_GROWTH = 2;
/** A version that nobody can find is looked for this seldom in the end. */
const LONGEST_GAP_MS = 60_000;

/** What is built from. */
export interface NewestPeerVersionOptions {
  /** The version that this daemon has in force; 0 for none. */
  readonly inForce: () => number;
  /** Looks for a newer one at once. */
  readonly look: () => void;
  /** Other daemons may have a version so much sooner when nothing is wrong. */
  readonly graceMs: number;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Keeps the newest version heard of. */
export class NewestPeerVersion {
  readonly #options: NewestPeerVersionOptions;
  #highest = 0;
  #heardMs = 0;
  #from = '';
  #isBehind = false;
  #cancelLook: CancelTimer | undefined;

  constructor(options: NewestPeerVersionOptions) {
    this.#options = options;
  }

  /** The newest version that any daemon is known to have in force, this one counted. */
  get highest(): number {
    return Math.max(this.#highest, this.#options.inForce());
  }

  /** A daemon says which version it has in force. */
  note(version: number, from: string): void {
    if (version <= this.highest) return;
    const { timers, graceMs } = this.#options;
    this.#highest = version;
    this.#from = from;
    if (this.#cancelLook !== undefined) return;
    this.#heardMs = timers.nowMs();
    this.#lookAfter(graceMs);
  }

  /** This daemon has another version in force. */
  recordInForce(version: number): void {
    if (version < this.#highest) return;
    this.#cancelLook?.();
    this.#cancelLook = undefined;
    if (!this.#isBehind) return;
    this.#isBehind = false;
    this.#options.log.write(GATEWAY_EVENTS.configurationCaughtUp, {
      configurationVersion: version,
      behindForMs: Math.round(this.#options.timers.nowMs() - this.#heardMs),
    });
  }

  stop(): void {
    this.#cancelLook?.();
    this.#cancelLook = undefined;
  }

  #lookAfter(gapMs: number): void {
    const { timers, look } = this.#options;
    this.#cancelLook = timers.after(gapMs, () => {
      this.#noteBehind();
      this.#lookAfter(Math.min(LONGEST_GAP_MS, gapMs * GAP_GROWTH));
      look();
    });
  }

  #noteBehind(): void {
    if (this.#isBehind) return;
    this.#isBehind = true;
    const { inForce, log, timers } = this.#options;
    log.write(GATEWAY_EVENTS.configurationBehind, {
      configurationVersion: inForce(),
      heardVersion: this.#highest,
      from: this.#from,
      heardForMs: Math.round(timers.nowMs() - this.#heardMs),
    });
  }
}
