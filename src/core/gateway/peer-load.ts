/**
 * What other daemons have told of their own work at engines. Each tells its whole state, so a lost
 * message is made good by the next; what is not renewed fades and is dropped.
 */

/** A daemon that has told nothing for this long counts as having nothing. */
const SILENT_AFTER_MS = 4_000;

/** One daemon's work at one engine. */
export interface EngineWork {
  readonly engineId: string;
  /** Expected time of the prompts it waits for. */
  readonly pendingMs: number;
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
}

interface ReceivedReport {
  readonly report: LoadReport;
  readonly atMs: number;
  readonly byEngine: ReadonlyMap<string, EngineWork>;
}

/** The newest report of each daemon. */
export class PeerLoads {
  readonly #byDaemon = new Map<string, ReceivedReport>();

  /** Takes a report unless a newer one of the same life is known. */
  take(report: LoadReport, nowMs: number): void {
    const known = this.#byDaemon.get(report.daemon)?.report;
    const isSameLife = known?.incarnation === report.incarnation;
    if (known !== undefined && isSameLife && known.sequence >= report.sequence) return;
    const byEngine = new Map(report.work.map((work) => [work.engineId, work]));
    this.#byDaemon.set(report.daemon, { report, atMs: nowMs, byEngine });
  }

  /** How long a new prompt waits for those of other daemons. */
  waitMs(engineId: string, nowMs: number): number {
    let totalMs = 0;
    for (const { byEngine, atMs } of this.#recent(nowMs)) {
      const work = byEngine.get(engineId);
      if (work !== undefined) totalMs += Math.max(0, work.pendingMs - (nowMs - atMs));
    }
    return totalMs;
  }

  /** Streams of other daemons that run at an engine. */
  running(engineId: string, nowMs: number): number {
    let total = 0;
    for (const { byEngine } of this.#recent(nowMs)) total += byEngine.get(engineId)?.running ?? 0;
    return total;
  }

  /** Daemons heard of lately. */
  count(nowMs: number): number {
    return this.#recent(nowMs).length;
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
