/**
 * Drives the waiting room of a daemon: asks for each request whether there is room now, lets it go, holds or
 * refuses it, and asks again when something has changed: a run or a read ended, other daemons' sums came, a
 * server was listed. Nothing here outlives a caller or a stop.
 */
import { type RoomPlace, WaitingRoom } from '../../core/admission/index.js';
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

/** Room that is expected to come by itself is looked for no more often than this. */
const LEAST_LOOK_MS = 10;
/** Sums of other daemons come more often than this; without them it is looked again after so long. */
const MOST_LOOK_MS = 100;

interface Waiter {
  readonly exchange: Exchange;
  readonly ask: AdmissionCheck;
  readonly place: RoomPlace;
  readonly since: number;
  /** By what was believed when it was last asked. */
  placement: Placement;
  readonly end: (leave: ReleaseReservation | undefined) => void;
}

/** What a room is built from. */
export interface AdmissionGateOptions {
  /** Whether requests wait and are refused here at all. */
  readonly isOn: boolean;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordWait' | 'recordCapacityRefusal'>;
}

/** The waiting room of a daemon. */
export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #room = new WaitingRoom();
  readonly #waiters = new Map<string, Waiter>();
  readonly #refusals: AdmissionRefusals;
  #entered = 0;
  #isStopping = false;
  #isTurning = false;
  #cancelLook: CancelTimer | undefined;
  #lookAtMs = Number.POSITIVE_INFINITY;

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
    this.#refusals = new AdmissionRefusals(options);
  }

  get isOn(): boolean {
    return this.#options.isOn;
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.#room.waiting;
  }

  /** Requests of a lane that wait. */
  waitingIn(lane: string): number {
    return this.#room.waitingIn(lane);
  }

  /** Lets a request pass, at once or when its turn comes; undefined when it was answered or is over. */
  admit(exchange: Exchange, ask: AdmissionCheck): Promise<ReleaseReservation | undefined> {
    const placement = ask.place();
    if (placement.kind === 'refuse') {
      this.#refuse(exchange, ask, placement.reason, placement.roomInMs, 0);
      return Promise.resolve(undefined);
    }
    if (placement.slackMs === undefined) return Promise.resolve(ask.reserve());
    return this.#enter(exchange, ask, placement, placement.slackMs);
  }

  /** Something has changed: whoever has room now goes. */
  wake(): void {
    if (this.#isTurning || this.#waiters.size === 0) return;
    this.#isTurning = true;
    this.#endHolds();
    this.#letGo();
    this.#isTurning = false;
    this.#planLook(MOST_LOOK_MS);
  }

  /** From now on nobody waits here: other daemons take them. */
  beginStop(): void {
    this.#isStopping = true;
    for (const waiter of [...this.#waiters.values()]) {
      this.#takeOut(waiter);
      this.#refusals.refuseStopping(waiter.exchange, waiter.ask);
      waiter.end(undefined);
    }
  }

  #enter(
    exchange: Exchange,
    ask: AdmissionCheck,
    placement: Exclude<Placement, { kind: 'refuse' }>,
    slackMs: number,
  ): Promise<ReleaseReservation | undefined> {
    const nowMs = this.#nowMs();
    const place = this.#placeOf(exchange, ask, nowMs + slackMs);
    const hasCapacity = placement.kind === 'go';
    const answer = this.#room.enter(place, { now: nowMs, hasCapacity });
    switch (answer.kind) {
      case 'dispatch-now':
        return Promise.resolve(ask.reserve());
      case 'refused': {
        const { code, retryAfterMs = 0 } = answer.fault;
        this.#refuse(exchange, ask, code, retryAfterMs, 0);
        return Promise.resolve(undefined);
      }
      case 'queued':
        break;
    }
    if (this.#isStopping) {
      this.#room.leave(place, nowMs);
      this.#refusals.refuseStopping(exchange, ask);
      return Promise.resolve(undefined);
    }
    return this.#wait(exchange, ask, place, placement);
  }

  #wait(
    exchange: Exchange,
    ask: AdmissionCheck,
    place: RoomPlace,
    placement: Placement,
  ): Promise<ReleaseReservation | undefined> {
    const since = this.#nowMs();
    const roomInMs = placement.kind === 'wait' ? placement.roomInMs : 0;
    this.#options.log.write(GATEWAY_EVENTS.requestWaits, {
      ...admissionLogFields(exchange, ask),
      behind: this.#room.waitingIn(ask.lane) - 1,
      roomInMs: Math.round(roomInMs),
      mostMs: Math.round(place.latestStartMs - since),
    });
    return new Promise((resolve) => {
      const leaveEarly = () => {
        this.#takeOut(waiter);
        waiter.end(undefined);
      };
      const end = (leave: ReleaseReservation | undefined) => {
        exchange.signal.removeEventListener('abort', leaveEarly);
        resolve(leave);
      };
      const waiter: Waiter = { exchange, ask, place, since, placement, end };
      this.#waiters.set(place.id, waiter);
      exchange.signal.addEventListener('abort', leaveEarly, { once: true });
      if (roomInMs <= 0) this.wake();
      this.#planLook(roomInMs);
    });
  }

  /** Ends the hold of those for which no room came. */
  #endHolds(): void {
    for (const { description, fault } of this.#room.expired(this.#nowMs())) {
      const waiter = this.#waiters.get(description.id);
      if (waiter === undefined) continue;
      this.#waiters.delete(description.id);
      const { exchange, ask, since } = waiter;
      const placement = ask.place();
      if (ask.isSentAtHoldLimit || placement.kind === 'go') {
        this.#letOneGo(waiter);
        continue;
      }
      const { roomInMs = fault.retryAfterMs ?? 0 } = placement;
      this.#refuse(exchange, ask, 'no room came', roomInMs, this.#nowMs() - since);
      waiter.end(undefined);
    }
  }

  #letGo(): void {
    for (;;) {
      const next = this.#room.next(this.#nowMs(), (id) => this.#isWanted(id));
      if (next === null) return;
      const waiter = this.#waiters.get(next.id);
      if (waiter === undefined) continue;
      this.#waiters.delete(next.id);
      this.#answerTurn(waiter);
    }
  }

  /** A request that is to be refused goes out too: its turn gives it its answer. */
  #isWanted(id: string): boolean {
    const waiter = this.#waiters.get(id);
    if (waiter === undefined) return true;
    waiter.placement = waiter.ask.place();
    return waiter.placement.kind !== 'wait';
  }

  #answerTurn(waiter: Waiter): void {
    const { exchange, ask, since, placement, end } = waiter;
    if (placement.kind === 'refuse') {
      this.#refuse(exchange, ask, placement.reason, placement.roomInMs, this.#nowMs() - since);
      end(undefined);
      return;
    }
    this.#letOneGo(waiter);
  }

  #letOneGo({ exchange, ask, since, end }: Waiter): void {
    const waitedMs = this.#nowMs() - since;
    const fields = { ...admissionLogFields(exchange, ask), waitedMs: Math.round(waitedMs) };
    this.#options.log.write(GATEWAY_EVENTS.requestWaited, fields);
    this.#options.metrics.recordWait(exchange.options.rank, waitedMs);
    end(ask.reserve());
  }

  #refuse(
    exchange: Exchange,
    ask: AdmissionCheck,
    reason: string,
    roomInMs: number,
    waitedMs: number,
  ): void {
    const behind = this.#room.waitingIn(ask.lane);
    this.#refusals.refuse(exchange, ask, { reason, roomInMs, waitedMs, behind });
  }

  #takeOut({ place }: Waiter): void {
    this.#waiters.delete(place.id);
    this.#room.leave(place, this.#nowMs());
  }

  #placeOf(exchange: Exchange, ask: AdmissionCheck, latestStartMs: number): RoomPlace {
    const { tenant, rank, arrivedAtMs } = exchange.options;
    this.#entered += 1;
    return {
      id: String(this.#entered),
      lane: ask.lane,
      tenant: tenant?.name ?? '',
      rank,
      // What cannot be in time never waits: `placeRequest` sends or refuses it at once.
      canBeInTime: true,
      costMs: ask.costMs,
      arrivedAtMs,
      latestStartMs,
    };
  }

  /** The backstop: servers' queues grow shorter without telling it. */
  #planLook(inMs: number): void {
    if (this.#waiters.size === 0) {
      this.#cancelLook?.();
      this.#lookAtMs = Number.POSITIVE_INFINITY;
      return;
    }
    const nowMs = this.#nowMs();
    const latestMs = this.#room.nextLatestStart ?? Number.POSITIVE_INFINITY;
    const wantedMs = Math.min(MOST_LOOK_MS, inMs, latestMs - nowMs);
    const atMs = nowMs + Math.max(LEAST_LOOK_MS, wantedMs);
    if (this.#lookAtMs > nowMs && this.#lookAtMs <= atMs) return;
    this.#cancelLook?.();
    this.#lookAtMs = atMs;
    this.#cancelLook = this.#options.timers.after(atMs - nowMs, () => {
      this.#lookAtMs = Number.POSITIVE_INFINITY;
      this.wake();
    });
  }

  #nowMs(): number {
    return this.#options.timers.nowMs();
  }
}
