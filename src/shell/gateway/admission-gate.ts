/**
 * Admission of requests to servers: runs the admission check of each request and admits, holds or refuses it. Requests
 * that are held in the waiting room are checked again when something has changed: a run or a prefill ended, load sums
 * of other daemons arrived, a server was listed. A held request leaves when its caller disconnects or the daemon stops.
 */
import { WaitQueue, type WaitQueueEntry } from '../../core/admission/index.js';
import type { Placement } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import {
  type AdmissionCheck,
  admissionLogFields,
  type ReleaseReservation,
} from './admission-check.js';
import { AdmissionRefusals } from './admission-refusals.js';
import type { Exchange } from './exchange.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Minimum interval between rechecks by timer. */
const MIN_RECHECK_MS = 10;
/** Maximum interval between rechecks; load sums of other daemons usually trigger one sooner. */
const MAX_RECHECK_MS = 100;

interface Waiter {
  readonly exchange: Exchange;
  readonly check: AdmissionCheck;
  readonly place: WaitQueueEntry;
  readonly waitingSinceMs: number;
  /** Result of the latest check. */
  placement: Placement;
  readonly end: (release: ReleaseReservation | undefined) => void;
}

/** Dependencies of the admission gate. */
export interface AdmissionGateOptions {
  /** Whether requests are held or refused here at all. */
  readonly isOn: boolean;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordWait' | 'recordCapacityRefusal'>;
}

/** Admits, holds or refuses the requests of a daemon. */
export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #waitQueue = new WaitQueue();
  readonly #waiters = new Map<string, Waiter>();
  readonly #refusals: AdmissionRefusals;
  #lastEntryId = 0;
  #isStopping = false;
  #isAdmitting = false;
  #cancelRecheck: CancelTimer | undefined;
  #recheckAtMs = Number.POSITIVE_INFINITY;

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
    this.#refusals = new AdmissionRefusals(options);
  }

  get isOn(): boolean {
    return this.#options.isOn;
  }

  /** The number of requests that are held. */
  get waiting(): number {
    return this.#waitQueue.waiting;
  }

  /** The number of requests of a lane that are held. */
  waitingInLane(lane: string): number {
    return this.#waitQueue.waitingInLane(lane);
  }

  /** Admits a request, at once or after a wait; undefined when it was refused or its caller's signal was aborted. */
  admit(exchange: Exchange, check: AdmissionCheck): Promise<ReleaseReservation | undefined> {
    const placement = check.decide();
    if (placement.kind === 'refuse') {
      this.#refuse(exchange, check, placement.reason, placement.roomInMs, 0);
      return Promise.resolve(undefined);
    }
    if (placement.slackMs === undefined) return Promise.resolve(check.reserve());
    return this.#enqueue(exchange, check, placement, placement.slackMs);
  }

  /** Rechecks the held requests after a change and admits those for which there is capacity now. */
  wake(): void {
    if (this.#isAdmitting || this.#waiters.size === 0) return;
    this.#isAdmitting = true;
    this.#endExpiredHolds();
    this.#admitReady();
    this.#isAdmitting = false;
    this.#scheduleRecheck(MAX_RECHECK_MS);
  }

  /** Refuses all held requests, and later ones that would be held: their callers retry at other daemons. */
  beginStop(): void {
    this.#isStopping = true;
    for (const waiter of [...this.#waiters.values()]) {
      this.#remove(waiter);
      this.#refusals.refuseStopping(waiter.exchange, waiter.check);
      waiter.end(undefined);
    }
  }

  #enqueue(
    exchange: Exchange,
    check: AdmissionCheck,
    placement: Exclude<Placement, { kind: 'refuse' }>,
    slackMs: number,
  ): Promise<ReleaseReservation | undefined> {
    const nowMs = this.#nowMs();
    const place = this.#placeOf(exchange, check, nowMs + slackMs);
    const hasCapacity = placement.kind === 'go';
    const answer = this.#waitQueue.offer(place, { now: nowMs, hasCapacity });
    switch (answer.kind) {
      case 'dispatch-now':
        return Promise.resolve(check.reserve());
      case 'refused': {
        const { code, retryAfterMs = 0 } = answer.fault;
        this.#refuse(exchange, check, code, retryAfterMs, 0);
        return Promise.resolve(undefined);
      }
      case 'queued':
        break;
    }
    if (this.#isStopping) {
      this.#waitQueue.remove(place, nowMs);
      this.#refusals.refuseStopping(exchange, check);
      return Promise.resolve(undefined);
    }
    return this.#wait(exchange, check, place, placement);
  }

  #wait(
    exchange: Exchange,
    check: AdmissionCheck,
    place: WaitQueueEntry,
    placement: Placement,
  ): Promise<ReleaseReservation | undefined> {
    const waitingSinceMs = this.#nowMs();
    const roomInMs = placement.kind === 'wait' ? placement.roomInMs : 0;
    this.#options.log.write(GATEWAY_EVENTS.requestWaits, {
      ...admissionLogFields(exchange, check),
      behind: this.#waitQueue.waitingInLane(check.lane) - 1,
      roomInMs: Math.round(roomInMs),
      mostMs: Math.round(place.latestStartMs - waitingSinceMs),
    });
    const endWait = exchange.progress.begin('waiting-for-admission');
    return new Promise((resolve) => {
      const cancel = () => {
        this.#remove(waiter);
        waiter.end(undefined);
      };
      const end = (release: ReleaseReservation | undefined) => {
        exchange.signal.removeEventListener('abort', cancel);
        endWait();
        resolve(release);
      };
      const waiter: Waiter = { exchange, check, place, waitingSinceMs, placement, end };
      this.#waiters.set(place.id, waiter);
      exchange.signal.addEventListener('abort', cancel, { once: true });
      if (roomInMs <= 0) this.wake();
      this.#scheduleRecheck(roomInMs);
    });
  }

  /** Ends the hold of requests whose latest start has passed: admits or refuses them. */
  #endExpiredHolds(): void {
    for (const { description, fault } of this.#waitQueue.expired(this.#nowMs())) {
      const waiter = this.#waiters.get(description.id);
      if (waiter === undefined) continue;
      this.#waiters.delete(description.id);
      const { exchange, check, waitingSinceMs } = waiter;
      const placement = check.decide();
      if (check.isSentAtHoldLimit || placement.kind === 'go') {
        this.#admitOne(waiter);
        continue;
      }
      const { roomInMs = fault.retryAfterMs ?? 0 } = placement;
      this.#refuse(exchange, check, 'no room came', roomInMs, this.#nowMs() - waitingSinceMs);
      waiter.end(undefined);
    }
  }

  #admitReady(): void {
    for (;;) {
      const next = this.#waitQueue.next(this.#nowMs(), (id) => this.#isDecided(id));
      if (next === null) return;
      const waiter = this.#waiters.get(next.id);
      if (waiter === undefined) continue;
      this.#waiters.delete(next.id);
      this.#handleTurn(waiter);
    }
  }

  /** Checks a request whose turn it is; a refusal also takes it out of the waiting room. */
  #isDecided(id: string): boolean {
    const waiter = this.#waiters.get(id);
    if (waiter === undefined) return true;
    waiter.placement = waiter.check.decide();
    return waiter.placement.kind !== 'wait';
  }

  #handleTurn(waiter: Waiter): void {
    const { exchange, check, waitingSinceMs, placement, end } = waiter;
    if (placement.kind === 'refuse') {
      this.#refuse(
        exchange,
        check,
        placement.reason,
        placement.roomInMs,
        this.#nowMs() - waitingSinceMs,
      );
      end(undefined);
      return;
    }
    this.#admitOne(waiter);
  }

  #admitOne({ exchange, check, waitingSinceMs, end }: Waiter): void {
    const waitedMs = this.#nowMs() - waitingSinceMs;
    const fields = { ...admissionLogFields(exchange, check), waitedMs: Math.round(waitedMs) };
    this.#options.log.write(GATEWAY_EVENTS.requestWaited, fields);
    this.#options.metrics.recordWait(exchange.options.rank, waitedMs);
    end(check.reserve());
  }

  #refuse(
    exchange: Exchange,
    check: AdmissionCheck,
    reason: string,
    roomInMs: number,
    waitedMs: number,
  ): void {
    const behind = this.#waitQueue.waitingInLane(check.lane);
    this.#refusals.refuse(exchange, check, { reason, roomInMs, waitedMs, behind });
  }

  #remove({ place }: Waiter): void {
    this.#waiters.delete(place.id);
    this.#waitQueue.remove(place, this.#nowMs());
  }

  #placeOf(exchange: Exchange, check: AdmissionCheck, latestStartMs: number): WaitQueueEntry {
    const { tenant, rank, arrivedAtMs } = exchange.options;
    this.#lastEntryId += 1;
    return {
      id: String(this.#lastEntryId),
      lane: check.lane,
      tenant: tenant?.name ?? '',
      rank,
      // A request that cannot be answered in time is never held: `placeRequest` sends or refuses it at once.
      canMeetDeadline: true,
      costMs: check.costMs,
      arrivedAtMs,
      latestStartMs,
    };
  }

  /** Schedules a recheck by timer, since servers' queues get shorter without an event at this daemon. */
  #scheduleRecheck(inMs: number): void {
    if (this.#waiters.size === 0) {
      this.#cancelRecheck?.();
      this.#recheckAtMs = Number.POSITIVE_INFINITY;
      return;
    }
    const nowMs = this.#nowMs();
    const latestMs = this.#waitQueue.nextStartDeadline ?? Number.POSITIVE_INFINITY;
    const wantedMs = Math.min(MAX_RECHECK_MS, inMs, latestMs - nowMs);
    const atMs = nowMs + Math.max(MIN_RECHECK_MS, wantedMs);
    if (this.#recheckAtMs > nowMs && this.#recheckAtMs <= atMs) return;
    this.#cancelRecheck?.();
    this.#recheckAtMs = atMs;
    this.#cancelRecheck = this.#options.timers.after(atMs - nowMs, () => {
      this.#recheckAtMs = Number.POSITIVE_INFINITY;
      this.wake();
    });
  }

  #nowMs(): number {
    return this.#options.timers.nowMs();
  }
}
