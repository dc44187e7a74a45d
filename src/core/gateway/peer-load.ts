/**
 * What other daemons have told of their own work at engines. Each tells its whole state, so a lost
 * message is made good by the next; what is not renewed fades and is dropped.
 */

import type { Urgency } from './engine-load.js';
import type { ReadNotice } from './prefix-cache-index.js';
import type { ReachabilityNotice } from './reachability-notices.js';
import { addDemands, type ServiceDemand } from './stage-demand.js';

/** A daemon that has told nothing for this long counts as having nothing. */
const SILENT_AFTER_MS = 4_000;
/** A relay's sums that are older give way to what single daemons told. */
const SUMS_VALID_MS = 2_500;
/** Reports are turned round at most this often, unless one comes; dropped ones wait so long. */
const INDEX_VALID_MS = 250;
const NO_WORK: readonly ReceivedWork[] = [];

/** One daemon's work at one engine. */
export interface EngineWork {
  readonly engineId: string;
  /** Expected time of the prompts it waits for that can be in time. */
  readonly pendingMs: number;
  /** Expected time of those that will be late, which are read after all others. */
  readonly lateMs: number;
  /** Its streams that run there. */
  readonly running: number;
}

/** What a daemon tells the others. */
export interface LoadReport {
  readonly daemon: string;
  /** Another with each start. */
  readonly incarnation: number;
  /** Grows with each report of a life. */
  readonly sequence: number;
  /** Only engines where it has work. */
  readonly work: readonly EngineWork[];
  /** Reads of shared parts that it began since the last report. */
  readonly reads: readonly ReadNotice[];
  /** What it was asked for lately. */
  readonly demand: readonly ServiceDemand[];
  /** Servers that it found silent, or back, since the last report. */
  readonly reach: readonly ReachabilityNotice[];
}

/** Sums told by the relay of a zone: over all daemons to its zone, over its zone to the other relays. */
export interface LoadSums {
  readonly relay: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** Whether engines that are left out have no work; otherwise they are as told before. */
  readonly isComplete: boolean;
  readonly work: readonly EngineWork[];
  /** Reads that daemons told of since the last sums. */
  readonly reads: readonly ReadNotice[];
  /** What the same daemons were asked for lately. */
  readonly demand: readonly ServiceDemand[];
  /** Servers that daemons found silent, or back, since the last sums. */
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

/** What is known of the work of other daemons. */
export class PeerLoads {
  readonly #byDaemon = new Map<string, ReceivedReport>();
  #sums: ReceivedSums | undefined;
  readonly #zoneSums = new Map<string, ReceivedSums>();
  #reportIndex: ReportIndex | undefined;
  #busySinceMs: number | undefined = Number.NEGATIVE_INFINITY;
  #hasHeardDemand = false;

  /** Takes a report unless a newer one of the same life is known. */
  applyReport(report: LoadReport, nowMs: number): void {
    const known = this.#byDaemon.get(report.daemon)?.report;
    const isSameLife = known?.incarnation === report.incarnation;
    if (known !== undefined && isSameLife && known.sequence >= report.sequence) return;
    const byEngine = new Map(report.work.map((work) => [work.engineId, work]));
    this.#byDaemon.set(report.daemon, { report, atMs: nowMs, byEngine });
    this.#noteDemand(report.demand, nowMs);
    this.#reportIndex = undefined;
  }

  /**
   * Takes a relay's sums, which hold this daemon's own work as well.
   * @param ownWork this daemon's work, to be taken off
   */
  applySums(sums: LoadSums, ownWork: readonly EngineWork[], nowMs: number): void {
    this.#sums = merged(this.#sums, sums, ownWork, nowMs);
    if (sums.demand.length === 0) this.#busySinceMs = undefined;
    this.#noteDemand(sums.demand, nowMs);
  }

  /** Takes the sums of another zone, as this daemon is the relay of its own. */
  applyZoneSums(zone: string, sums: LoadSums, nowMs: number): void {
    this.#zoneSums.set(zone, merged(this.#zoneSums.get(zone), sums, [], nowMs));
    this.#noteDemand(sums.demand, nowMs);
    this.#reportIndex = undefined;
  }

  /** A server has started again: what was told of its work is over. */
  forget(engineId: string): void {
    this.#sums?.byEngine.delete(engineId);
    for (const { byEngine } of this.#zoneSums.values()) byEngine.delete(engineId);
    for (const { byEngine } of this.#byDaemon.values()) byEngine.delete(engineId);
    this.#reportIndex = undefined;
  }

  /** How long a new prompt waits for those of other daemons. */
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

  /** The sums of what single daemons told and of this daemon's own work, for other relays. */
  zoneTotals(ownWork: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const totals = new Map<string, EngineWork>();
    for (const { byEngine, atMs } of this.#recent(nowMs)) {
      for (const work of byEngine.values()) addWork(totals, workLeft(work, nowMs - atMs));
    }
    for (const work of ownWork) addWork(totals, work);
    return [...totals.values()];
  }

  /** The same with the sums of the other zones, for the own zone. */
  totals(ownWork: readonly EngineWork[], nowMs: number): readonly EngineWork[] {
    const totals = new Map<string, EngineWork>();
    for (const work of this.zoneTotals(ownWork, nowMs)) addWork(totals, work);
    for (const { work, atMs } of this.#otherZones(nowMs)) {
      addWork(totals, workLeft(work, nowMs - atMs));
    }
    return [...totals.values()];
  }

  /** What the daemons were asked for lately that this one hears by themselves, and itself. */
  zoneDemand(own: readonly ServiceDemand[], nowMs: number): readonly ServiceDemand[] {
    return addDemands([...own, ...this.#recent(nowMs).flatMap(({ report }) => report.demand)]);
  }

  /** What all daemons were asked for lately, as far as it is known here. */
  totalDemand(own: readonly ServiceDemand[], nowMs: number): readonly ServiceDemand[] {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) return sums.sums.demand;
    const zones = [...this.#zoneSums.values()].filter(({ atMs }) => nowMs - atMs <= SUMS_VALID_MS);
    const ofOthers = zones.flatMap((zone) => zone.sums.demand);
    return addDemands([...this.zoneDemand(own, nowMs), ...ofOthers]);
  }

  /** Whether anything is known of the work of others. */
  hasReceived(nowMs: number): boolean {
    const sums = this.#sums;
    const hasSums = sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS;
    return hasSums || this.#recent(nowMs).length > 0;
  }

  /**
   * For how long the others have had requests: Infinity where that began before this daemon heard of them, undefined
   * while they have none.
   */
  busyForMs(nowMs: number): number | undefined {
    return this.#busySinceMs === undefined ? undefined : nowMs - this.#busySinceMs;
  }

  /** Age of what a relay, or the relays of the other zones, told of all daemons; undefined where none did. */
  sumsAgeMs(nowMs: number): number | undefined {
    const received = this.#sums === undefined ? [] : [this.#sums];
    const agesMs = [...received, ...this.#zoneSums.values()].map(({ atMs }) => nowMs - atMs);
    const validMs = agesMs.filter((ageMs) => ageMs <= SUMS_VALID_MS);
    return validMs.length === 0 ? undefined : Math.min(...validMs);
  }

  /** How old the newest that was told of the others' work is; infinite where nothing was. */
  newestAgeMs(nowMs: number): number {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) return nowMs - sums.atMs;
    return Math.min(
      Number.POSITIVE_INFINITY,
      ...this.#recent(nowMs).map(({ atMs }) => nowMs - atMs),
    );
  }

  /** Daemons heard of lately. */
  count(nowMs: number): number {
    return this.#recent(nowMs).length;
  }

  /** Others that are not asked for anything at first show the moment at which they are. */
  #noteDemand(demand: readonly ServiceDemand[], nowMs: number): void {
    if (demand.length > 0) this.#busySinceMs ??= nowMs;
    else if (!this.#hasHeardDemand) this.#busySinceMs = undefined;
    if (demand.length > 0) this.#hasHeardDemand = true;
  }

  #workAt(engineId: string, nowMs: number): readonly ReceivedWork[] {
    const sums = this.#sums;
    if (sums !== undefined && nowMs - sums.atMs <= SUMS_VALID_MS) {
      const received = sums.byEngine.get(engineId);
      return received === undefined ? NO_WORK : [received];
    }
    return this.#indexOfReports(nowMs).get(engineId) ?? NO_WORK;
  }

  /** What single daemons told, by engine: a plan asks for all engines, so it is turned round once. */
  #indexOfReports(nowMs: number): ReadonlyMap<string, readonly ReceivedWork[]> {
    const known = this.#reportIndex;
    if (known !== undefined && nowMs - known.atMs < INDEX_VALID_MS) return known.byEngine;
    const byEngine = new Map<string, ReceivedWork[]>();
    const told = this.#recent(nowMs).flatMap((report) =>
      [...report.byEngine.values()].map((work) => ({ work, atMs: report.atMs })),
    );
    for (const received of [...told, ...this.#otherZones(nowMs)]) {
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
      if (nowMs - received.atMs <= SILENT_AFTER_MS) recent.push(received);
      else this.#byDaemon.delete(daemon);
    }
    return recent;
  }
}

/** Sums as they are known with newer ones, less the own work that those hold; older ones change nothing. */
function merged(
  known: ReceivedSums | undefined,
  sums: LoadSums,
  ownWork: readonly EngineWork[],
  nowMs: number,
): ReceivedSums {
  const isSameLife =
    known?.sums.relay === sums.relay && known.sums.incarnation === sums.incarnation;
  if (known !== undefined && isSameLife && known.sums.sequence >= sums.sequence) return known;
  const keepsOthers = isSameLife && !sums.isComplete && known !== undefined;
  const byEngine = keepsOthers ? known.byEngine : new Map<string, ReceivedWork>();
  const own = new Map(ownWork.map((work) => [work.engineId, work]));
  for (const total of sums.work) {
    const work = withoutOwn(total, own.get(total.engineId));
    byEngine.set(total.engineId, { work, atMs: nowMs });
  }
  return { sums, atMs: nowMs, byEngine };
}

/** What is left of work after a time in which the engine worked at it, late prompts last. */
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

/** Adds one entry to sums by engine. */
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
