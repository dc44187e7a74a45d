/** Bounds the bytes that are sent: a rate, and a burst that may go at once after a pause. */
import type { TimerService } from './timer-service.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** What a budget allows. */
export interface ByteBudgetLimits {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
}

/** A token bucket of bytes. */
export class ByteBudget {
  readonly #limits: ByteBudgetLimits;
  readonly #timers: Pick<TimerService, 'nowMs'>;
  #bytes: number;
  #atMs: number;

  constructor(limits: ByteBudgetLimits, timers: Pick<TimerService, 'nowMs'>) {
    this.#limits = limits;
    this.#timers = timers;
    this.#bytes = limits.burstBytes;
    this.#atMs = timers.nowMs();
  }

  /** What may be sent at this moment. */
  get availableBytes(): number {
    const nowMs = this.#timers.nowMs();
    const { bytesPerSecond, burstBytes } = this.#limits;
    const earned = ((nowMs - this.#atMs) * bytesPerSecond) / MILLISECONDS_PER_SECOND;
    this.#bytes = Math.min(burstBytes, this.#bytes + earned);
    this.#atMs = nowMs;
    return this.#bytes;
  }

  /** Takes bytes that are sent in any case; what is lacking is made up before more is sent. */
  take(bytes: number): void {
    this.#bytes = this.availableBytes - bytes;
  }

  /** Takes bytes from the budget if they are there. */
  tryTake(bytes: number): boolean {
    if (bytes > this.availableBytes) return false;
    this.#bytes -= bytes;
    return true;
  }
}

/** UDP and IPv4 headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;

/** What a datagram takes of a link. */
export function datagramWireBytes(bytes: Buffer): number {
  return bytes.length + DATAGRAM_OVERHEAD_BYTES;
}
