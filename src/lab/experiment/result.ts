/** The measurements of one run of a scenario. */
import type { Milliseconds } from '../../core/common/time.js';
import type { Percentiles } from '../common/duration-histogram.js';

/** The number of engines in each role at one time. `away`: busy with an order, or down. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
  readonly away: number;
}

/** One point of a run's time series; rates are over the time since the previous point. */
export interface CoursePoint {
  readonly at_s: number;
  readonly finished_tokens_per_second: number;
  readonly finished_requests_per_second: number;
  readonly arrived_prompt_tokens_per_second: number;
  readonly arrived_output_tokens_per_second: number;
  readonly roles: RoleCounts;
  /** Requests that wait in daemons. */
  readonly waiting: number;
  /** Requests that wait in engines. */
  readonly queued: number;
  /** Requests in the engines' batches. */
  readonly running: number;
  readonly first_token_p95_ms: Milliseconds | null;
  readonly between_tokens_p95_ms: Milliseconds | null;
}

/** Mean and maximum over the points of a run's time series. */
export interface QueueFigures {
  readonly mean: number;
  readonly highest: number;
}

/** The result of one run. The field names are part of the command's interface. */
export interface ExperimentResult {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  /** The time in seconds during which requests were sent. */
  readonly duration_s: number;
  readonly sent: number;
  /** Requested output tokens and requests per second. */
  readonly offered: GoodputFigures;
  /** Complete and correct answers that ended while requests were being sent. */
  readonly goodput: GoodputFigures;
  /** Role changes that engines carried out after the start. */
  readonly role_changes: number;
  readonly shifts: number;
  /** Complete and correct answers, including those that ended later. */
  readonly finished: number;
  readonly refused: number;
  readonly unknown: number;
  /** Answers that broke off after their first token, and attempts that an order interrupted. */
  readonly cut: number;
  readonly wrong: number;
  /** Descriptions of the first other broken promises that the oracle found. */
  readonly violations: readonly string[];
  /** Milliseconds from sending a request until the first token of a streamed answer. */
  readonly first_token: Percentiles;
  /** Milliseconds between tokens of a streamed answer. */
  readonly between_tokens: Percentiles;
  readonly queues: {
    readonly waiting_in_daemons: QueueFigures;
    readonly queued_in_engines: QueueFigures;
  };
  /** The number of refusals and failures by code. */
  readonly codes: Readonly<Record<string, number>>;
  readonly course: readonly CoursePoint[];
}

/** Output tokens and requests per second. */
export interface GoodputFigures {
  readonly tokens_per_second: number;
  readonly requests_per_second: number;
}
