/** The time series of a run: points at equal intervals, for queue figures and plots. */
import type { Milliseconds } from '../../core/common/time.js';
import type { EngineReport } from '../../core/registry/backend.js';
import type { SimulatedFleet } from '../simulation/index.js';
import type { IntervalCounts, Measurements } from './measurements.js';
import type { CoursePoint, ExperimentResult, QueueFigures, RoleCounts } from './result.js';

const MS_PER_SECOND = 1_000;
const SHOWN_PERCENTILE = 95;

/** Collects the points of a run. */
export class RunTimeSeries {
  readonly points: CoursePoint[] = [];
  #lastAtMs = 0;

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly measurements: Measurements,
  ) {}

  /** Records the point at `atMs` after the run's start; returns the counts since the last point. */
  recordPoint(atMs: Milliseconds, reports: readonly EngineReport[]): IntervalCounts {
    const { measurements } = this;
    const firstTokenMs = measurements.intervalFirstTokens.at(SHOWN_PERCENTILE);
    const betweenTokensMs = measurements.intervalTokenGaps.at(SHOWN_PERCENTILE);
    const counts = measurements.takeInterval();
    const seconds = (atMs - this.#lastAtMs) / MS_PER_SECOND;
    this.#lastAtMs = atMs;
    this.points.push({
      at_s: atMs / MS_PER_SECOND,
      finished_tokens_per_second: counts.finishedTokens / seconds,
      finished_requests_per_second: counts.finishedRequests / seconds,
      arrived_prompt_tokens_per_second: counts.arrivedPromptTokens / seconds,
      arrived_output_tokens_per_second: counts.arrivedOutputTokens / seconds,
      roles: roleCounts(reports, this.fleet.engines().length),
      waiting: this.#waiting(),
      queued: sum(reports.map(({ load }) => load.queued)),
      running: sum(reports.map(({ load }) => load.running)),
      first_token_p95_ms: firstTokenMs,
      between_tokens_p95_ms: betweenTokensMs,
    });
    return counts;
  }

  /** Queue figures over all points. */
  queues(): ExperimentResult['queues'] {
    return {
      waiting_in_daemons: figures(this.points.map(({ waiting }) => waiting)),
      queued_in_engines: figures(this.points.map(({ queued }) => queued)),
    };
  }

  #waiting(): number {
    const waiting = this.fleet.daemons().map(({ state }) => state?.traffic.admission.waiting ?? 0);
    return sum(waiting);
  }
}

function roleCounts(reports: readonly EngineReport[], engines: number): RoleCounts {
  const serving = reports.filter(({ busy }) => !busy);
  const inRole = (wanted: EngineReport['role']): number =>
    serving.filter(({ role }) => role === wanted).length;
  return {
    prefill: inRole('prefill'),
    decode: inRole('decode'),
    mixed: inRole('mixed'),
    away: engines - serving.length,
  };
}

function figures(values: readonly number[]): QueueFigures {
  if (values.length === 0) return { mean: 0, highest: 0 };
  return { mean: sum(values) / values.length, highest: Math.max(...values) };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
