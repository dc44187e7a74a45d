/**
 * Says what this daemon's retry budgets began with, what was taken from them and how many daemons it
 * believes to share them: over the logs of all daemons, the repeats of any span can be added up.
 */
import type { RetryBudget, RetryBudgetCounts } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** A line for each service and second at most; a process that is killed takes its last one with it. */
const REPORT_GAP_MS = 1_000;
const NOTHING: RetryBudgetCounts = { requests: 0, taken: 0, givenBack: 0, denied: 0 };

/** What a reporter is built from. */
export interface RetryBudgetReporterOptions {
  readonly fleet: FleetView;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordRetryBudget'>;
}

interface LoggedCounts {
  readonly counts: RetryBudgetCounts;
  readonly atMs: number;
}

/** Reports on the budgets of one daemon. */
export class RetryBudgetReporter {
  readonly #options: RetryBudgetReporterOptions;
  readonly #startedMs: number;
  /** What the figures have, and what the log has: its lines span the seconds that were quiet. */
  readonly #recorded = new Map<string, RetryBudgetCounts>();
  readonly #logged = new Map<string, LoggedCounts>();
  #cancel: CancelTimer | undefined;

  constructor(options: RetryBudgetReporterOptions) {
    this.#options = options;
    this.#startedMs = options.timers.nowMs();
  }

  start(): void {
    this.#cancel = this.#options.timers.after(REPORT_GAP_MS, () => {
      this.#reportAll();
      this.start();
    });
  }

  /** Says what is not yet said; nothing comes after it. */
  stop(): void {
    this.#cancel?.();
    this.#reportAll();
  }

  /** To be called when a service's first request creates its budget. */
  recordBudgetCreated(service: string, budget: RetryBudget): void {
    const { fleet, log } = this.#options;
    log.write(GATEWAY_EVENTS.retryBudgetBegun, {
      service,
      daemons: fleet.size.sharers ?? 0,
      sinceStartMs: this.#sinceStartMs,
      saved: rounded(budget.level),
      cap: rounded(budget.cap),
    });
  }

  /** To be called when the list of daemons was read. */
  recordDaemonCount(before: number | undefined, daemons: number): void {
    if (daemons === before) return;
    this.#options.log.write(GATEWAY_EVENTS.fleetSizeChanged, {
      daemons,
      before: before ?? 0,
      sinceStartMs: this.#sinceStartMs,
    });
  }

  get #sinceStartMs(): number {
    return Math.round(this.#options.timers.nowMs() - this.#startedMs);
  }

  #reportAll(): void {
    for (const [service, budget] of this.#options.fleet.budgets) this.#report(service, budget);
  }

  #report(service: string, budget: RetryBudget): void {
    const { fleet, log, metrics, timers } = this.#options;
    const now = budget.counts;
    const unrecorded = difference(now, this.#recorded.get(service) ?? NOTHING);
    this.#recorded.set(service, now);
    metrics.recordRetryBudget(service, unrecorded, budget.level);
    if (unrecorded.taken + unrecorded.givenBack + unrecorded.denied === 0) return;
    const nowMs = timers.nowMs();
    const last = this.#logged.get(service) ?? { counts: NOTHING, atMs: this.#startedMs };
    this.#logged.set(service, { counts: now, atMs: nowMs });
    log.write(GATEWAY_EVENTS.retryBudgetUsed, {
      service,
      spanMs: Math.round(nowMs - last.atMs),
      daemons: fleet.size.sharers ?? 0,
      ...difference(now, last.counts),
      saved: rounded(budget.level),
      cap: rounded(budget.cap),
    });
  }
}

function difference(now: RetryBudgetCounts, before: RetryBudgetCounts): RetryBudgetCounts {
  return {
    requests: now.requests - before.requests,
    taken: now.taken - before.taken,
    givenBack: now.givenBack - before.givenBack,
    denied: now.denied - before.denied,
  };
}

function rounded(repeats: number): number {
  return Math.round(repeats * 100) / 100;
}
