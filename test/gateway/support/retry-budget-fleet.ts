/**
 * A fleet of gateways' beliefs in virtual time, asked for more than its servers take: when repeats were
 * sent, and how the worst window stands against the bound that all daemons share.
 */
import assert from 'node:assert/strict';
import { type RetryBudgetOptions, SendMeter } from '../../../src/core/gateway/index.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';

const SERVICE = 'm';
const WINDOW_MS = 10_000;

/** Times of requests and repeats as servers and callers see them, in rising order. */
export interface ObservedTimes {
  readonly requestsMs: number[];
  readonly repeatsMs: number[];
}

/** Daemons that share a service's retry budget. */
export class RetryBudgetFleet {
  readonly observed: ObservedTimes = { requestsMs: [], repeatsMs: [] };
  readonly #options: RetryBudgetOptions;
  readonly #views: FleetView[];

  constructor(options: RetryBudgetOptions, daemons: number) {
    this.#options = options;
    this.#views = Array.from({ length: daemons }, () => new FleetView(options));
  }

  get size(): number {
    return this.#views.length;
  }

  /** A daemon's process is killed, and another life of it begins with no list of daemons. */
  restart(daemon: number): void {
    this.#views[daemon % this.size] = new FleetView(this.#options);
  }

  /** A daemon reads a list of so many daemons from the store. */
  readList(daemon: number, listed: number): void {
    this.#viewOf(daemon).setDaemonCount(listed);
  }

  /** A request arrives, and so many servers turn it away before one takes it. */
  request(daemon: number, turnedAway: number, nowMs: number): void {
    const budget = this.#viewOf(daemon).budgetOf(SERVICE);
    budget.countRequest();
    this.observed.requestsMs.push(nowMs);
    const meter = new SendMeter();
    for (let send = 0; send <= turnedAway; send += 1) {
      if (meter.tryBegin('run', budget) === undefined) break;
      if (send > 0) this.observed.repeatsMs.push(nowMs);
    }
  }

  #viewOf(daemon: number): FleetView {
    const view = this.#views[daemon % this.size];
    assert.ok(view !== undefined);
    return view;
  }
}

/** The window that is furthest over the bound, or nearest to it; windows begin just before a repeat. */
export interface WorstWindow {
  readonly startMs: number;
  readonly repeats: number;
  readonly allowed: number;
}

export function worstWindow(
  seen: ObservedTimes,
  { ratio, slack }: RetryBudgetOptions,
): WorstWindow {
  let worst: WorstWindow = { startMs: 0, repeats: 0, allowed: slack };
  for (const startMs of new Set(seen.repeatsMs)) {
    const within = (times: readonly number[]) =>
      lowerBound(times, startMs + WINDOW_MS) - lowerBound(times, startMs);
    const repeats = within(seen.repeatsMs);
    const allowed = ratio * within(seen.requestsMs) + slack;
    if (repeats - allowed > worst.repeats - worst.allowed) worst = { startMs, repeats, allowed };
  }
  return worst;
}

/** How many of the rising times lie before one. */
function lowerBound(times: readonly number[], timeMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? 0) < timeMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
