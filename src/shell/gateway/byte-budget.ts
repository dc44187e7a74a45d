/** Limits the rate of bytes sent, with a burst after a pause. */
import type { TimerService } from './timer-service.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** The rate and burst of a budget. */
export interface ByteBudgetLimits {
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
}

/** A token bucket that counts bytes. */
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

  /** Bytes that may be sent now; negative after `take` overdrew the budget. */
  get availableBytes(): number {
    const nowMs = this.#timers.nowMs();
    const { bytesPerSecond, burstBytes } = this.#limits;
    const earned = ((nowMs - this.#atMs) * bytesPerSecond) / MILLISECONDS_PER_SECOND;
    this.#bytes = Math.min(burstBytes, this.#bytes + earned);
    this.#atMs = nowMs;
    return this.#bytes;
  }

  /** Takes bytes that are sent in any case; the budget may go below zero and is refilled from there. */
  take(bytes: number): void {
    this.#bytes = this.availableBytes - bytes;
  }

  /** Takes bytes if the budget has that many; otherwise takes none and returns false. */
  tryTake(bytes: number): boolean {
    if (bytes > this.availableBytes) return false;
    this.#bytes -= bytes;
    return true;
  }
}

/** Size of the UDP and IPv4 headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;

/** The bytes that a datagram takes on the network, with its headers. */
export function datagramWireBytes(bytes: Buffer): number {
  return bytes.length + DATAGRAM_OVERHEAD_BYTES;
}
