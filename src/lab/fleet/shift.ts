/** A shift: one run of a workload against a fleet, with its report. */
import { Load, type LoadProgress, type LoadReport } from '../load/index.js';
import type { Workload } from '../workload/index.js';
import { OrderCheck, type OrderFindings } from './order-check.js';
import { type RoleChange, RoleChangeWatcher } from './role-change-watcher.js';
import type { RunningFleet } from './running-fleet.js';

const FINAL_TIMEOUT_MS = 30_000;

/** How to run a shift. */
export interface ShiftOptions {
  readonly workload: Workload;
  readonly maxRetries: number;
  readonly signal: AbortSignal;
  /** Called with the progress every `progressEveryMs`. */
  readonly onProgress: (progress: LoadProgress) => void;
  readonly progressEveryMs: number;
}

/** The results of a shift. */
export interface ShiftReport {
  readonly load: LoadReport;
  readonly roleChanges: readonly RoleChange[];
  readonly orders: OrderFindings;
}

/** Sends the workload to a running fleet's daemons. */
export async function runShift(fleet: RunningFleet, options: ShiftOptions): Promise<ShiftReport> {
  const orderCheck = new OrderCheck();
  const roleWatch = new RoleChangeWatcher(fleet.engines);
  await roleWatch.firstPoll;
  const load = new Load({
    workload: options.workload,
    targets: fleet.daemons.map((daemon) => daemon.callers),
    maxRetries: options.maxRetries,
    finalTimeoutMs: FINAL_TIMEOUT_MS,
    signal: options.signal,
    onOutcome: (arrival, outcome) => orderCheck.recordOutcome(arrival, outcome),
  });
  const ticker = setInterval(() => options.onProgress(load.progress()), options.progressEveryMs);
  const report = await load.run();
  clearInterval(ticker);
  await roleWatch.stop();
  const orders = await orderCheck.compare(fleet.webs);
  return { load: report, roleChanges: roleWatch.changes, orders };
}

/** Descriptions of the violated guarantees of a shift; empty if there are none. */
export function violations(report: ShiftReport): string[] {
  const { outcomes } = report.load;
  const { orders } = report;
  const counts: [number, string][] = [
    [outcomes.wrong, 'answers were wrong'],
    [outcomes.cut, 'answers were cut'],
    [outcomes.unknown, 'requests ended with an unknown outcome though nothing failed'],
    [orders.runTwice, 'orders ran more than once'],
    [orders.refusedButRun, 'orders ran though their caller was told they did not'],
    [orders.finishedButNotRun, 'orders were answered but no server ran them'],
    [orders.serversNotAsked, 'backends could not be asked what they ran'],
  ];
  return counts.filter(([count]) => count > 0).map(([count, text]) => `${count} ${text}`);
}
