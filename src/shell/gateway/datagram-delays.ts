/** Measures how long datagrams of other daemons were on their way, and logs when those of a daemon begin and cease to be late. */
import { setNewest } from '../../core/common/bounded-map.js';
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Daemons whose datagrams are late are remembered up to this number. */
const MAX_LATE_DAEMONS = 1_024;

/** Dependencies and settings of `DatagramDelays`. */
export interface DatagramDelaysOptions {
  /** A datagram that took longer is late. */
  readonly lateMs: number;
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly metrics: Pick<GatewayMetrics, 'recordDatagramDelay'>;
  readonly log: Pick<GatewayLog, 'write'>;
}

interface LateSpell {
  readonly sinceMs: number;
  readonly worstMs: number;
}

/** The delays of the datagrams that one daemon receives; they are upper bounds. */
export class DatagramDelays {
  readonly #options: DatagramDelaysOptions;
  readonly #late = new Map<string, LateSpell>();
  #worstMs = 0;

  constructor(options: DatagramDelaysOptions) {
    this.#options = options;
  }

  /** Records a received datagram. */
  record(daemon: string, kind: string, delayMs: number): void {
    this.#options.metrics.recordDatagramDelay(kind, delayMs);
    this.#worstMs = Math.max(this.#worstMs, delayMs);
    const spell = this.#late.get(daemon);
    const isLate = delayMs > this.#options.lateMs;
    if (isLate) this.#recordLate(daemon, kind, delayMs, spell);
    else if (spell !== undefined) this.#endSpell(daemon, spell);
  }

  /** The longest delay since the last call. */
  takeWorstMs(): number {
    const worstMs = this.#worstMs;
    this.#worstMs = 0;
    return worstMs;
  }

  #recordLate(daemon: string, kind: string, delayMs: number, spell: LateSpell | undefined): void {
    const { timers, lateMs, log } = this.#options;
    const sinceMs = spell?.sinceMs ?? timers.nowMs();
    const worstMs = Math.max(spell?.worstMs ?? 0, delayMs);
    setNewest(this.#late, daemon, { sinceMs, worstMs }, MAX_LATE_DAEMONS);
    if (spell !== undefined) return;
    const fields = { daemon, kind, delayMs: Math.round(delayMs), lateMs: Math.round(lateMs) };
    log.write(DEPARTURE_EVENTS.datagramsLate, fields);
  }

  #endSpell(daemon: string, { sinceMs, worstMs }: LateSpell): void {
    const { timers, log } = this.#options;
    this.#late.delete(daemon);
    const forMs = Math.round(timers.nowMs() - sinceMs);
    log.write(DEPARTURE_EVENTS.datagramsPunctual, { daemon, forMs, worstMs: Math.round(worstMs) });
  }
}
