/**
 * The work at engines that other daemons have advertised. Each message carries a daemon's complete state, so the next
 * one makes up for a lost one; work that is not renewed runs down with time and is dropped.
 */

import { setNewest } from '../common/bounded-map.js';
import type { Urgency } from './engine-load.js';
import type { ReadNotice } from './prefix-cache-index.js';
import type { ReachabilityNotice } from './reachability-notices.js';
import { addDemands, type ServiceDemand } from './stage-demand.js';

/** A daemon that has sent nothing for this long counts as having no work. */
const REPORT_VALID_MS = 4_000;
/** Maximum age of a relay's sums; older ones are replaced by the reports of single daemons. */
const SUMS_VALID_MS = 2_500;
/**
 * The index of reports by engine is rebuilt when a report arrives, and otherwise after this time; an expired report
 * stays in it until then.
 */
const INDEX_VALID_MS = 250;
/** Several times those of the largest fleet; anything that sends a datagram can name a daemon or a zone. */
const MAX_DAEMONS = 4_096;
const MAX_ZONES = 256;
const NO_WORK: readonly ReceivedWork[] = [];

/** One daemon's work at one engine. */
export interface EngineWork {
  readonly engineId: string;
  /** Expected read time of its queued prompts that can still be answered within their target. */
  readonly pendingMs: number;
  /** Expected read time of its queued prompts that will miss their target; engines read them after all others. */
  readonly lateMs: number;
  /** Number of its streams that run there. */
  readonly running: number;
}

/** What a daemon advertises to the others. */
export interface LoadReport {
  readonly daemon: string;
  /** Different for each start of the daemon. */
  readonly incarnation: number;
  /** Increases with each report of an incarnation. */
  readonly sequence: number;
  /** Only engines at which it has work. */
  readonly work: readonly EngineWork[];
  /** Reads of shared prompt parts that it began since its last report. */
  readonly reads: readonly ReadNotice[];
  /** The demand that its callers created recently. */
  readonly demand: readonly ServiceDemand[];
  /** Servers that it found unreachable, or reachable again, since its last report. */
  readonly reach: readonly ReachabilityNotice[];
}

/**
 * Sums that the relay of a zone sends: those over all daemons to its own zone, those over its zone to the other relays.
 */
export interface LoadSums {
  readonly relay: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** Whether engines that are left out have no work; otherwise their last advertised work still holds. */
  readonly isComplete: boolean;
  readonly work: readonly EngineWork[];
  /** Reads of shared prompt parts that daemons reported since the last sums. */
  readonly reads: readonly ReadNotice[];
  /** The recent demand of the callers of the same daemons. */
  readonly demand: readonly ServiceDemand[];
  /** Servers that daemons found unreachable, or reachable again, since the last sums. */
  readonly reach: readonly ReachabilityNotice[];
}

interface ReceivedWork {
  readonly work: EngineWork;
  readonly atMs: number;
}

interface ReceivedSums {
  readonly sums: LoadSums;
  readonly atMs: number;
  readonly byEngine: Map<string, ReceivedWork>;
}

interface ReportIndex {
  readonly byEngine: ReadonlyMap<string, readonly ReceivedWork[]>;
  readonly atMs: number;
}

interface ReceivedReport {
  readonly report: LoadReport;
  readonly atMs: number;
  readonly byEngine: Map<string, EngineWork>;
}

/** The known work of other daemons. */
export class PeerLoads {
  readonly #byDaemon = new Map<string, ReceivedReport>();
  #sums: ReceivedSums | undefined;
  readonly #zoneSums = new Map<string, ReceivedSums>();
  #reportIndex: ReportIndex | undefined;
  #busySinceMs: number | undefined = Number.NEGATIVE_INFINITY;
  #hasReceivedDemand = false;

  /** Applies a report unless a newer one of the same incarnation is known. */
  applyReport(report: LoadReport, nowMs: number): void {
    const known = this.#byDaemon.get(report.daemon)?.report;
    const isSameRun = known?.incarnation === report.incarnation;
    if (known !== undefined && isSameRun && known.sequence >= report.sequence) return;
    const byEngine = new Map(report.work.map((work) => [work.engineId, work]));
    const received = { report, atMs: nowMs, byEngine };
    setNewest(this.#byDaemon, report.daemon, received, MAX_DAEMONS);
    this.#recordDemand(report.demand, nowMs);
    this.#reportIndex = undefined;
  }

  /**
   * Applies a relay's sums, which include this daemon's own work.
   * @param ownWork this daemon's work, to be subtracted
   */
  applySums(sums: LoadSums, ownWork: readonly EngineWork[], nowMs: number): void {
    this.#sums = merged(this.#sums, sums, ownWork, nowMs);
    if (sums.demand.length === 0) this.#busySinceMs = undefined;
    this.#recordDemand(sums.demand, nowMs);
  }

  /** Applies the sums of another zone, if this daemon is the relay of its own. */
  applyZoneSums(zone: string, sums: LoadSums, nowMs: number): void {
    const received = merged(this.#zoneSums.get(zone), sums, [], nowMs);
    setNewest(this.#zoneSums, zone, received, MAX_ZONES);
    this.#recordDemand(sums.demand, nowMs);
    this.#reportIndex = undefined;
  }

  /** Drops the advertised work of a server that has restarted. */
  forget(engineId: string): void {
    this.#sums?.byEngine.delete(engineId);
    for (const { byEngine } of this.#zoneSums.values()) byEngine.delete(engineId);
    for (const { byEngine } of this.#byDaemon.values()) byEngine.delete(engineId);
    this.#reportIndex = undefined;
  }

  /** Expected wait of a new prompt for the prompts of other daemons. */
  waitMs(engineId: string, urgency: Urgency, nowMs: number): number {
    let totalMs = 0;
    for (const { work, atMs } of this.#workAt(engineId, nowMs)) {
      const elapsedMs = nowMs - atMs;
      totalMs += pendingLeftMs(work, elapsedMs);
      if (urgency === 'late') totalMs += lateLeftMs(work, elapsedMs);
    }
    return totalMs;
  }

  /** Streams of other daemons that run at an engine. */
  running(engineId: string, nowMs: number): number {
    let total = 0;
    for (const { work } of this.#workAt(engineId, nowMs)) total += work.running;
    return total;
  }

  /** The sums of this daemon's own work and the reports of single daemons, for the other relays. */
  zoneTotals(ownWork: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const totals = new Map<string, EngineWork>();
    for (const { byEngine, atMs } of this.#recent(nowMs)) {
      for (const work of byEngine.values()) addWork(totals, workLeft(work, nowMs - atMs));
    }
    for (const work of ownWork) addWork(totals, work);
    return [...totals.values()];
  }

  /** The same plus the sums of the other zones, for the own zone. */
  totals(ownWork: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const totals = new Map<string, EngineWork>();
    for (const work of this.zoneTotals(ownWork, nowMs)) addWork(totals, work);
    for (const { work, atMs } of this.#otherZones(nowMs)) {
      addWork(totals, workLeft(work, nowMs - atMs));
    }
    return [...totals.values()];
  }

  /** The recent demand at this daemon and at the daemons whose reports it receives directly. */
  zoneDemand(own: readonly ServiceDemand[], nowMs: number): readonly ServiceDemand[] {
    return addDemands([...own, ...this.#recent(nowMs).flatMap(({ report }) => report.demand)]);
  }

  /** The recent demand at all daemons, as far as it is known here. */
  totalDemand(own: readonly ServiceDemand[], nowMs: number): readonly ServiceDemand[] {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) return sums.sums.demand;
    const zones = [...this.#zoneSums.values()].filter(({ atMs }) => nowMs - atMs <= SUMS_VALID_MS);
    const ofOthers = zones.flatMap((zone) => zone.sums.demand);
    return addDemands([...this.zoneDemand(own, nowMs), ...ofOthers]);
  }

  /** Whether any recent information on the work of other daemons is known. */
  hasReceived(nowMs: number): boolean {
    const sums = this.#sums;
    const hasSums = sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS;
    return hasSums || this.#recent(nowMs).length > 0;
  }

  /**
   * For how long other daemons have had requests: Infinity if they already had some at the first report, undefined
   * while they have none.
   */
  busyForMs(nowMs: number): number | undefined {
    return this.#busySinceMs === undefined ? undefined : nowMs - this.#busySinceMs;
  }

  /**
   * Age of the newest sums from the own zone's relay or, at a relay, from those of other zones; undefined without valid
   * sums.
   */
  sumsAgeMs(nowMs: number): number | undefined {
    const received = this.#sums === undefined ? [] : [this.#sums];
    const agesMs = [...received, ...this.#zoneSums.values()].map(({ atMs }) => nowMs - atMs);
    const validMs = agesMs.filter((ageMs) => ageMs <= SUMS_VALID_MS);
    return validMs.length === 0 ? undefined : Math.min(...validMs);
  }

  /** Age of the newest information on other daemons' work; infinite if there is none. */
  newestAgeMs(nowMs: number): number {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) return nowMs - sums.atMs;
    return Math.min(
      Number.POSITIVE_INFINITY,
      ...this.#recent(nowMs).map(({ atMs }) => nowMs - atMs),
    );
  }

  /** Number of daemons with a recent report. */
  count(nowMs: number): number {
    return this.#recent(nowMs).length;
  }

  /** Dates the start of the others' demand. It is known only if the first reports show no demand. */
  #recordDemand(demand: readonly ServiceDemand[], nowMs: number): void {
    if (demand.length > 0) this.#busySinceMs ??= nowMs;
    else if (!this.#hasReceivedDemand) this.#busySinceMs = undefined;
    if (demand.length > 0) this.#hasReceivedDemand = true;
  }

  #workAt(engineId: string, nowMs: number): readonly ReceivedWork[] {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) {
      const received = sums.byEngine.get(engineId);
      return received === undefined ? NO_WORK : [received];
    }
    return this.#indexOfReports(nowMs).get(engineId) ?? NO_WORK;
  }

  /** Indexes the reports of single daemons by engine. The index is reused, since a plan looks up all engines. */
  #indexOfReports(nowMs: number): ReadonlyMap<string, readonly ReceivedWork[]> {
    const known = this.#reportIndex;
    if (known !== undefined && nowMs - known.atMs < INDEX_VALID_MS) return known.byEngine;
    const byEngine = new Map<string, ReceivedWork[]>();
    const reported = this.#recent(nowMs).flatMap((report) =>
      [...report.byEngine.values()].map((work) => ({ work, atMs: report.atMs })),
    );
    for (const received of [...reported, ...this.#otherZones(nowMs)]) {
      const entries = byEngine.get(received.work.engineId);
      if (entries === undefined) byEngine.set(received.work.engineId, [received]);
      else entries.push(received);
    }
    this.#reportIndex = { byEngine, atMs: nowMs };
    return byEngine;
  }

  #otherZones(nowMs: number): readonly ReceivedWork[] {
    return [...this.#zoneSums.values()].flatMap(({ atMs, byEngine }) =>
      nowMs - atMs <= SUMS_VALID_MS ? [...byEngine.values()] : [],
    );
  }

  #recent(nowMs: number): readonly ReceivedReport[] {
    const recent: ReceivedReport[] = [];
    for (const [daemon, received] of this.#byDaemon) {
      if (nowMs - received.atMs <= REPORT_VALID_MS) recent.push(received);
      else this.#byDaemon.delete(daemon);
    }
    return recent;
  }
}

/** Merges newer sums, less the own work that they include, into the known ones. Older sums change nothing. */
function merged(
  known: ReceivedSums | undefined,
  sums: LoadSums,
  ownWork: readonly EngineWork[],
  nowMs: number,
): ReceivedSums {
  const isSameRun = known?.sums.relay === sums.relay && known.sums.incarnation === sums.incarnation;
  if (known !== undefined && isSameRun && known.sums.sequence >= sums.sequence) return known;
  const keepsOthers = isSameRun && !sums.isComplete && known !== undefined;
  const byEngine = keepsOthers ? known.byEngine : new Map<string, ReceivedWork>();
  const own = new Map(ownWork.map((work) => [work.engineId, work]));
  for (const total of sums.work) {
    const work = withoutOwn(total, own.get(total.engineId));
    byEngine.set(total.engineId, { work, atMs: nowMs });
  }
  return { sums, atMs: nowMs, byEngine };
}

/** The work that is left after a time in which the engine processed it, late prompts last. */
function workLeft(work: EngineWork, elapsedMs: number): EngineWork {
  const pendingMs = pendingLeftMs(work, elapsedMs);
  return { ...work, pendingMs, lateMs: lateLeftMs(work, elapsedMs) };
}

function pendingLeftMs({ pendingMs }: EngineWork, elapsedMs: number): number {
  return Math.max(0, pendingMs - elapsedMs);
}

function lateLeftMs({ pendingMs, lateMs }: EngineWork, elapsedMs: number): number {
  const spareMs = Math.max(0, elapsedMs - pendingMs);
  return Math.max(0, lateMs - spareMs);
}

/** Adds one entry to the sums by engine. */
function addWork(totals: Map<string, EngineWork>, work: EngineWork): void {
  const known = totals.get(work.engineId);
  totals.set(work.engineId, {
    engineId: work.engineId,
    pendingMs: work.pendingMs + (known?.pendingMs ?? 0),
    lateMs: work.lateMs + (known?.lateMs ?? 0),
    running: work.running + (known?.running ?? 0),
  });
}

function withoutOwn(total: EngineWork, own: EngineWork | undefined): EngineWork {
  if (own === undefined) return total;
  return {
    engineId: total.engineId,
    pendingMs: Math.max(0, total.pendingMs - own.pendingMs),
    lateMs: Math.max(0, total.lateMs - own.lateMs),
    running: Math.max(0, total.running - own.running),
  };
}
