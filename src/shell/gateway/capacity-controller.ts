/**
 * Orders server capacity per zone for services whose servers are billed by the second. `src/core/capacity/` decides;
 * this controller supplies its inputs and makes the calls that it asks for, one at a time.
 */
import * as z from 'zod/mini';
import {
  type CapacityAction,
  CapacityDuty,
  type CapacityOrder,
  type CapacityRecord,
  type CapacitySummary,
  type OrderOutcome,
  type ScaledService,
  ServerListSettling,
  type ZoneCapacity,
} from '../../core/capacity/index.js';
import { requiredEngines, type Service } from '../../core/gateway/index.js';
import { fenceSchema } from '../../core/lease/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { DutyRecordRow, type SentOutcome } from './duty-record.js';
import type { FleetView } from './fleet-view.js';
import type { DutyOutcome, PlatformDuties, TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callWithTimeout, delay, type TimerService } from './timer-service.js';

const RECORD_KEY = 'capacity-duty';
const POLL_INTERVAL_MS = 500;
/** Used while `toleratesZoneLoss` is set: short enough to replace lost servers before callers notice the loss. */
const LOSS_POLL_INTERVAL_MS = 200;
/**
 * Daemons start polling at a random time within this span, so that the first of them has taken the duty before the
 * others try.
 */
const INITIAL_DELAY_SPREAD_MS = 1_000;
const CALL_TIMEOUT_MS = 1_500;
const FAILURE_BACKOFF_MS = 1_000;

const orderSchema = z.object({
  service: z.string(),
  zone: z.string(),
  isSpot: z.boolean(),
  servers: z.number(),
});

const recordSchema = z.object({
  holder: z.string(),
  incarnation: z.number(),
  fence: fenceSchema,
  wantedPerZone: z.record(z.string(), z.number()),
  targets: z.optional(z.array(orderSchema)),
});

/** Dependencies and settings of a capacity controller. */
export interface CapacityControllerOptions {
  readonly daemon: string;
  readonly incarnation: number;
  readonly leaseMs: number;
  /** Whether spare servers are ordered, and lost ones replaced at once. */
  readonly toleratesZoneLoss: boolean;
  readonly fleet: FleetView;
  readonly duties: PlatformDuties;
  readonly table: TableService;
  /** Whether this daemon knows the demand of the whole fleet, without which it must not order. */
  readonly mayOrder: () => boolean;
  readonly timers: TimerService;
  /** Timers whose clock includes the time during which the machine was suspended. */
  readonly leaseTimers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Orders capacity while this daemon holds the capacity duty. */
export class CapacityController {
  readonly #options: CapacityControllerOptions;
  readonly #duty: CapacityDuty;
  readonly #record: DutyRecordRow<CapacityRecord>;
  readonly #stopped = new AbortController();
  readonly #settling = new ServerListSettling();
  /** The plan last logged, by service. */
  readonly #lastLogged = new Map<string, string>();
  #wasHolder = false;

  constructor(options: CapacityControllerOptions) {
    this.#options = options;
    this.#duty = new CapacityDuty(options);
    this.#record = new DutyRecordRow({ ...options, key: RECORD_KEY, schema: recordSchema });
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { timers, mayOrder, toleratesZoneLoss } = this.#options;
    const { signal } = this.#stopped;
    await delay(timers, Math.random() * INITIAL_DELAY_SPREAD_MS, signal);
    while (!signal.aborted) {
      const isBusy = mayOrder() && (await this.#step());
      if (!isBusy)
        await delay(timers, toleratesZoneLoss ? LOSS_POLL_INTERVAL_MS : POLL_INTERVAL_MS, signal);
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** @returns whether another step may be due without delay */
  async #step(): Promise<boolean> {
    const nowMs = this.#options.timers.nowMs();
    const services = this.#scaledServices(nowMs);
    if (!this.#hasSettled(services, nowMs)) return false;
    const action = this.#duty.next(services, this.#options.leaseTimers.nowMs());
    for (const summary of this.#duty.summaries) this.#logSummary(summary);
    return this.#perform(action);
  }

  async #perform(action: CapacityAction): Promise<boolean> {
    const { signal } = this.#stopped;
    switch (action.kind) {
      case 'none':
        return false;
      case 'read':
        return this.#applyRecord(this.#record.read(signal));
      case 'write':
        return this.#applyRecord(this.#record.write(action.record, action.expectedVersion, signal));
      case 'order':
        return this.#placeOrder(action.order, action.fence);
    }
  }

  async #applyRecord(call: Promise<SentOutcome<CapacityRecord>>): Promise<boolean> {
    const { timers } = this.#options;
    const { outcome, sentMs } = await call;
    this.#duty.applyRecord(outcome, sentMs, this.#options.leaseTimers.nowMs());
    this.#logHolder();
    if (outcome.kind !== 'seen') await delay(timers, FAILURE_BACKOFF_MS, this.#stopped.signal);
    return outcome.kind === 'seen';
  }

  async #placeOrder(order: CapacityOrder, fence: number): Promise<boolean> {
    const { daemon, duties, timers, log, fleet, toleratesZoneLoss } = this.#options;
    const authority = { holder: daemon, fence };
    const outcome = await callWithTimeout(timers, CALL_TIMEOUT_MS, this.#stopped.signal, (signal) =>
      duties.orderCapacity(order, authority, signal),
    );
    const scaling = fleet.inForce?.configuration.services.get(order.service)?.scaling;
    const nowMs = this.#options.leaseTimers.nowMs();
    this.#duty.recordOrderOutcome(orderOutcomeOf(outcome), order, scaling?.bootMs ?? 0, nowMs);
    log.write(GATEWAY_EVENTS.capacityOrdered, {
      ...order,
      fence,
      outcome: outcome.kind,
      status: outcome.kind === 'refused' ? outcome.status : 0,
      reason: outcome.kind === 'lost' ? outcome.reason : '',
    });
    // A conflict may mean that the zone has none of the ordered servers: they are ordered in other zones without delay.
    return outcome.kind === 'accepted' || (toleratesZoneLoss && outcome.kind === 'conflict');
  }

  /** This daemon's estimates for each service, for the metrics. */
  get summaries(): readonly CapacitySummary[] {
    return this.#options.mayOrder() ? this.#duty.summaries : [];
  }

  #logSummary(summary: CapacitySummary): void {
    const { service, needed, wanted, present, coming, lost } = summary;
    const zonesWithoutSpot = summary.zonesWithoutSpot.join(' ');
    const fields = { service, needed, wanted, present, coming, zonesWithoutSpot };
    const { log } = this.#options;
    if (lost > 0) log.write(GATEWAY_EVENTS.spotServersTaken, { ...fields, lost });
    // Only changes of the plan are logged: `present`, `coming` and `needed` change too often.
    const loggedState = `${wanted} ${zonesWithoutSpot}`;
    if (this.#lastLogged.get(service) === loggedState) return;
    this.#lastLogged.set(service, loggedState);
    log.write(GATEWAY_EVENTS.capacityPlanned, fields);
  }

  #logHolder(): void {
    const { isHolder } = this.#duty;
    if (isHolder === this.#wasHolder) return;
    this.#wasHolder = isHolder;
    this.#options.log.write(GATEWAY_EVENTS.capacityDutyChanged, { isHolder });
  }

  #scaledServices(nowMs: number): readonly ScaledService[] {
    const { fleet } = this.#options;
    const services = [...(fleet.inForce?.configuration.services.values() ?? [])];
    return services.flatMap((service) => this.#scaledService(service, nowMs));
  }

  #scaledService({ name, scaling }: Service, nowMs: number): readonly ScaledService[] {
    if (scaling === undefined) return [];
    const { fleet } = this.#options;
    const servers = fleet.readyOf(name, nowMs);
    const zones = [...scaling.zonePrices.keys()].map((zone): ZoneCapacity => {
      const inZone = servers.filter((server) => server.zone === zone);
      const spot = inZone.filter(({ isSpot }) => isSpot).length;
      return { zone, plain: inZone.length - spot, spot };
    });
    const need = fleet.demand.needOf(name, nowMs);
    const neededTotal = Math.ceil(need.prefillEngines + need.decodeEngines);
    const neededWithHeadroom = requiredEngines(need);
    return [{ service: name, limits: scaling, zones, neededTotal, neededWithHeadroom }];
  }

  /** Servers of a fleet that has just started are listed one by one; nothing is ordered before the list has settled. */
  #hasSettled(services: readonly ScaledService[], nowMs: number): boolean {
    const zones = services.flatMap((service) => service.zones);
    const listed = zones.reduce((sum, { plain, spot }) => sum + plain + spot, 0);
    const longestBootMs = Math.max(0, ...services.map(({ limits }) => limits.bootMs));
    return this.#settling.update(listed, longestBootMs, nowMs);
  }
}

function orderOutcomeOf(outcome: DutyOutcome): OrderOutcome {
  switch (outcome.kind) {
    case 'accepted':
      return 'accepted';
    case 'conflict':
      return 'conflict';
    case 'refused':
    case 'lost':
      return 'unknown';
  }
}
