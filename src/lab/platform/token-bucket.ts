/** A token bucket for the rate limits of the emulated platform; the caller passes the time. */
import type { Milliseconds } from '../../core/common/time.js';

const MS_PER_SECOND = 1_000;

/** The rate limit of a service. */
export interface RateLimit {
  /** Sustained calls per second. */
  readonly perSecond: number;
  /** Calls that an idle service accepts at once. */
  readonly burst: number;
}

/** Takes one token per call and refills at a constant rate. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Milliseconds | null = null;

  constructor(private readonly limit: RateLimit) {
    this.tokens = limit.burst;
  }

  /** Takes a token and returns 0; if there is none, returns the milliseconds until the next one. */
  take(now: Milliseconds): Milliseconds {
    this.refill(now);
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) * MS_PER_SECOND) / this.limit.perSecond);
  }

  private refill(now: Milliseconds): void {
    const elapsedMs = Math.max(0, now - (this.refilledAt ?? now));
    const earned = (elapsedMs * this.limit.perSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.limit.burst, this.tokens + earned);
    this.refilledAt = now;
  }
}
