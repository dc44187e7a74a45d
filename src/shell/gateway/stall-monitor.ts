/**
 * Notices when this process has stood still: it was stopped, or got no processor time. What it knows is out of date then,
 * and has to be confirmed before it is relied on. A late timer shows a stall, and so does the clock at any other moment:
 * requests that waited in the sockets may be read before any timer fires.
 */
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const TICK_MS = 100;

/** Dependencies and settings of a `StallMonitor`. */
export interface StallMonitorOptions {
  /** After a shorter stall, what this process knows is still relied on. */
  readonly minStallMs: number;
  /** Brings what this process knows up to date; called once for each stall, as soon as it is noticed. */
  readonly recover: () => Promise<void>;
  /** Processor time of this process since its start, which tells whether it was busy in a stall or did not run. */
  readonly processorMs: () => number;
  /** Their clock includes suspensions of the machine, and steps of its time of day. */
  readonly timers: TimerService;
  /** A clock without either: the platform counts a grace period by no time of day. */
  readonly steadyClock: Pick<TimerService, 'nowMs'>;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The stalls of one process. */
export class StallMonitor {
  readonly #options: StallMonitorOptions;
  #nextTickMs = Number.POSITIVE_INFINITY;
  #steadyNextTickMs = Number.POSITIVE_INFINITY;
  #processorMsAtTick = 0;
  #cancelTick: CancelTimer | undefined;
  #recovery: Promise<void> | undefined;
  /** How late the last tick was noticed, and when, by the steady clock. */
  #lateMs = 0;
  #noticedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: StallMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    const { timers, processorMs } = this.#options;
    this.#processorMsAtTick = processorMs();
    this.#expectTick();
    this.#cancelTick = timers.after(TICK_MS, () => {
      this.#noteLateness();
      this.#check();
      this.start();
    });
  }

  stop(): void {
    this.#cancelTick?.();
    this.#nextTickMs = Number.POSITIVE_INFINITY;
    this.#steadyNextTickMs = Number.POSITIVE_INFINITY;
  }

  /**
   * How long this process may have been stopped or busy until just now: what it handles now may have come at the beginning of
   * that time.
   */
  lateMs(): number {
    const nowMs = this.#options.steadyClock.nowMs();
    const lastLateMs = nowMs - this.#noticedAtMs < TICK_MS ? this.#lateMs : 0;
    return Math.max(0, lastLateMs, nowMs - this.#steadyNextTickMs);
  }

  /** Resolves once what this process knows is up to date after a stall; undefined if it has not stood still. */
  whenCurrent(): Promise<void> | undefined {
    this.#check();
    return this.#recovery;
  }

  #expectTick(): void {
    const { timers, steadyClock } = this.#options;
    this.#nextTickMs = timers.nowMs() + TICK_MS;
    this.#steadyNextTickMs = steadyClock.nowMs() + TICK_MS;
  }

  #noteLateness(): void {
    const nowMs = this.#options.steadyClock.nowMs();
    const lateMs = nowMs - this.#steadyNextTickMs;
    // A request that was read first may have shown the same lateness.
    if (lateMs < this.lateMs()) return;
    this.#lateMs = lateMs;
    this.#noticedAtMs = nowMs;
  }

  #check(): void {
    const { minStallMs, recover, processorMs, timers, log } = this.#options;
    const stalledMs = timers.nowMs() - this.#nextTickMs;
    if (stalledMs < minStallMs) return;
    this.#noteLateness();
    // The late timer must not report the same stall again.
    this.#expectTick();
    log.write(DEPARTURE_EVENTS.stoodStill, {
      stalledMs: Math.round(stalledMs),
      busyMs: Math.round(processorMs() - this.#processorMsAtTick),
    });
    const recovery = recover().finally(() => {
      if (this.#recovery === recovery) this.#recovery = undefined;
    });
    this.#recovery = recovery;
  }
}
