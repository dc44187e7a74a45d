/** Counts the outcomes of a load and records its durations in HDR histograms. */
import type { Milliseconds } from '../../core/common/time.js';
import { DurationHistogram, type Percentiles } from '../common/duration-histogram.js';
import type { Arrival } from '../workload/index.js';
import type { Outcome, OutcomeKind } from './outcome.js';

const MS_PER_SECOND = 1_000;
const MAX_DETAILS = 10;

/** Counts by outcome. */
export type OutcomeCounts = Readonly<Record<OutcomeKind, number>>;

/** What a load measured. */
export interface LoadReport {
  readonly workload: string;
  readonly seed: number;
  /** From the start of the load to the last outcome. */
  readonly durationMs: Milliseconds;
  readonly sent: number;
  readonly outcomes: OutcomeCounts;
  /** Number of retries after a refusal with `Retry-After`. */
  readonly retries: number;
  readonly goodput: {
    readonly outputTokensPerSecond: number;
    readonly requestsPerSecond: number;
  };
  /** From sending to the first token of a streamed answer. */
  readonly firstToken: Percentiles;
  /** Between consecutive tokens of a streamed answer. */
  readonly betweenTokens: Percentiles;
  /** From first sending to the end of an answer, for finished requests, retries included. */
  readonly wholeAnswer: Percentiles;
  readonly bySource: Readonly<Record<string, OutcomeCounts>>;
  readonly byPhase: Readonly<Record<string, OutcomeCounts>>;
  /** Refused and unknown outcomes by their code. */
  readonly codes: Readonly<Record<string, number>>;
  /** Descriptions of the first wrong or cut answers. */
  readonly details: readonly string[];
}

/** The counts and durations of a load in progress. */
export class Tally {
  private readonly total = emptyCounts();
  private readonly sources = new Map<string, Record<OutcomeKind, number>>();
  private readonly phases = new Map<string, Record<OutcomeKind, number>>();
  private readonly codes = new Map<string, number>();
  private readonly details: string[] = [];
  private readonly firstTokens = new DurationHistogram();
  private readonly tokenGaps = new DurationHistogram();
  private readonly wholeAnswers = new DurationHistogram();
  private outputTokens = 0;
  private sentCount = 0;
  private retryCount = 0;

  /** Records the first sending of a request. */
  recordSent(): void {
    this.sentCount += 1;
  }

  /** Records a retry. */
  recordRetry(): void {
    this.retryCount += 1;
  }

  /** Records the first token of a streamed answer. */
  recordFirstToken(afterMs: Milliseconds): void {
    this.firstTokens.record(afterMs);
  }

  /** Records a later token of a streamed answer. */
  recordTokenGap(gapMs: Milliseconds): void {
    this.tokenGaps.record(gapMs);
  }

  /** Records the final outcome of a request. */
  recordOutcome(arrival: Arrival, outcome: Outcome, tookMs: Milliseconds): void {
    this.total[outcome.kind] += 1;
    countsIn(this.sources, arrival.source.name)[outcome.kind] += 1;
    countsIn(this.phases, arrival.phase)[outcome.kind] += 1;
    if (outcome.kind === 'finished') {
      this.outputTokens += outcome.outputTokens;
      this.wholeAnswers.record(tookMs);
    } else if (outcome.kind === 'refused' || outcome.kind === 'unknown') {
      this.codes.set(outcome.code, (this.codes.get(outcome.code) ?? 0) + 1);
    } else {
      this.keepDetail(
        `${outcome.kind} ${arrival.source.name} #${arrival.index}: ${outcome.detail}`,
      );
    }
  }

  /** The counts so far. */
  counts(): OutcomeCounts & { readonly sent: number; readonly outputTokens: number } {
    return { ...this.total, sent: this.sentCount, outputTokens: this.outputTokens };
  }

  /** The report of a load that took `durationMs`. */
  report(workload: string, seed: number, durationMs: Milliseconds): LoadReport {
    const seconds = Math.max(durationMs, 1) / MS_PER_SECOND;
    return {
      workload,
      seed,
      durationMs,
      sent: this.sentCount,
      outcomes: { ...this.total },
      retries: this.retryCount,
      goodput: {
        outputTokensPerSecond: this.outputTokens / seconds,
        requestsPerSecond: this.total.finished / seconds,
      },
      firstToken: this.firstTokens.percentiles(),
      betweenTokens: this.tokenGaps.percentiles(),
      wholeAnswer: this.wholeAnswers.percentiles(),
      bySource: Object.fromEntries(this.sources),
      byPhase: Object.fromEntries(this.phases),
      codes: Object.fromEntries(this.codes),
      details: this.details,
    };
  }

  private keepDetail(detail: string): void {
    if (this.details.length < MAX_DETAILS) this.details.push(detail);
  }
}

function emptyCounts(): Record<OutcomeKind, number> {
  return { finished: 0, refused: 0, unknown: 0, wrong: 0, cut: 0 };
}

function countsIn(
  map: Map<string, Record<OutcomeKind, number>>,
  name: string,
): Record<OutcomeKind, number> {
  const present = map.get(name) ?? emptyCounts();
  map.set(name, present);
  return present;
}
