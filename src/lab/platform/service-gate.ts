/** Admission to a service: its rate limit, its faults, and the counts of its calls. */
import type { Milliseconds } from '../../core/common/time.js';
import { LossSource, NO_FAULTS, type ServiceFaults } from './faults.js';
import { type RateLimit, TokenBucket } from './token-bucket.js';

/** The `retry-after-ms` of a service that is down. */
const DOWN_RETRY_AFTER_MS = 500;

/** The decision on a call. */
export type Admission =
  | { readonly kind: 'refused'; readonly status: 429 | 503; readonly retryAfterMs: Milliseconds }
  | {
      readonly kind: 'admitted';
      /** Delay before the call takes effect. */
      readonly delayMs: Milliseconds;
      /** Delay between the call's effect and its answer. */
      readonly answerDelayMs: Milliseconds;
      /** `call`: the connection breaks before the effect; `answer`: it breaks after the effect. */
      readonly lost: 'nothing' | 'call' | 'answer';
    };

/** Counts of a service's calls since the start. */
export interface ServiceCounts {
  readonly calls: number;
  readonly overRate: number;
  readonly whileDown: number;
  readonly lost: number;
}

/** Admission control of one service. */
export class ServiceGate {
  private readonly bucket: TokenBucket;
  private faults: ServiceFaults = NO_FAULTS;
  private callLoss = new LossSource(NO_FAULTS.loseCalls);
  private answerLoss = new LossSource(NO_FAULTS.loseAnswers);
  private counted: ServiceCounts = { calls: 0, overRate: 0, whileDown: 0, lost: 0 };

  constructor(limit: RateLimit) {
    this.bucket = new TokenBucket(limit);
  }

  /** Sets the given faults. A given loss restarts its count. */
  setFaults(
    change: { readonly [Key in keyof ServiceFaults]?: ServiceFaults[Key] | undefined },
  ): void {
    const given = Object.entries(change).filter(([, value]) => value !== undefined);
    this.faults = { ...this.faults, ...Object.fromEntries(given) };
    if (change.loseCalls !== undefined) this.callLoss = new LossSource(change.loseCalls);
    if (change.loseAnswers !== undefined) this.answerLoss = new LossSource(change.loseAnswers);
  }

  /** The current faults. */
  currentFaults(): ServiceFaults {
    return this.faults;
  }

  /** The counts so far. */
  counts(): ServiceCounts {
    return this.counted;
  }

  /** Decides on one call. */
  admit(writes: boolean, now: Milliseconds): Admission {
    this.count('calls');
    if (this.faults.down) {
      this.count('whileDown');
      return { kind: 'refused', status: 503, retryAfterMs: DOWN_RETRY_AFTER_MS };
    }
    const retryAfterMs = this.bucket.take(now);
    if (retryAfterMs > 0) {
      this.count('overRate');
      return { kind: 'refused', status: 429, retryAfterMs };
    }
    const lost = this.drawLoss(writes);
    if (lost !== 'nothing') this.count('lost');
    const { slowMs, slowAnswerMs } = this.faults;
    return { kind: 'admitted', delayMs: slowMs, answerDelayMs: slowAnswerMs, lost };
  }

  private drawLoss(writes: boolean): 'nothing' | 'call' | 'answer' {
    if (this.faults.writesOnly && !writes) return 'nothing';
    if (this.callLoss.isNextLost()) return 'call';
    return this.answerLoss.isNextLost() ? 'answer' : 'nothing';
  }

  private count(name: keyof ServiceCounts): void {
    this.counted = { ...this.counted, [name]: this.counted[name] + 1 };
  }
}
