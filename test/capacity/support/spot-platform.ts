/** A platform in memory and virtual time that reclaims spot servers, the duty's record, and daemons that use them. */
import {
  type CapacityAction,
  CapacityDuty,
  type CapacityOrder,
  type CapacityRecord,
  type OrderOutcome,
  type ScaledService,
} from '../../../src/core/capacity/index.js';

export const BOOT_MS = 4_000;
export const LEASE_MS = 3_000;
const SERVICE = 'reader';
const POLL_MS = 200;
const STEP_MS = 50;
const PRICES = new Map([
  ['a', 1],
  ['b', 0.8],
  ['c', 1.25],
]);

/** An order that reached the platform. */
export interface ReceivedOrder extends CapacityOrder {
  readonly daemon: string;
  readonly fence: number;
  readonly atMs: number;
  readonly outcome: OrderOutcome;
}

interface Coming {
  readonly key: string;
  readonly servers: number;
  readonly atMs: number;
}

/** Adds ordered servers after a boot time and removes servers at once. */
export class SpotPlatform {
  nowMs = 0;
  version = 0;
  record: CapacityRecord | undefined;
  /** Daemons whose store calls are refused. */
  readonly refusedDaemons = new Set<string>();
  /** Until when a zone has no spot servers available. */
  readonly noSpotUntilMs = new Map<string, number>();
  readonly receivedOrders: ReceivedOrder[] = [];
  neededWithHeadroom: number;
  readonly spotPrice: number;
  readonly #counts = new Map<string, number>();
  #coming: Coming[] = [];

  constructor(plainPerZone: number, neededWithHeadroom: number, spotPrice = 0.18) {
    for (const zone of PRICES.keys()) this.#counts.set(`${zone} plain`, plainPerZone);
    this.neededWithHeadroom = neededWithHeadroom;
    this.spotPrice = spotPrice;
  }

  /** Reclaims all spot servers of a zone, including booting ones; none are available there for `unavailableMs`. */
  reclaim(zone: string, unavailableMs: number): void {
    this.#counts.set(`${zone} spot`, 0);
    this.#coming = this.#coming.filter(({ key }) => key !== `${zone} spot`);
    this.noSpotUntilMs.set(zone, this.nowMs + unavailableMs);
  }

  services(): readonly ScaledService[] {
    const zones = [...PRICES.keys()].map((zone) => ({
      zone,
      plain: this.count(zone, 'plain'),
      spot: this.count(zone, 'spot'),
    }));
    const { spotPrice, neededWithHeadroom } = this;
    const limits = { min: 1, max: 40, bootMs: BOOT_MS, spotPrice, zonePrices: PRICES };
    return [{ service: SERVICE, limits, zones, neededTotal: 0, neededWithHeadroom }];
  }

  count(zone: string, kind: 'plain' | 'spot'): number {
    return this.#counts.get(`${zone} ${kind}`) ?? 0;
  }

  countOf(kind: 'plain' | 'spot'): number {
    return [...PRICES.keys()].reduce((sum, zone) => sum + this.count(zone, kind), 0);
  }

  get ready(): number {
    return this.countOf('plain') + this.countOf('spot');
  }

  order(order: CapacityOrder, daemon: string, fence: number): OrderOutcome {
    const outcome = this.#carryOut(order);
    this.receivedOrders.push({ ...order, daemon, fence, atMs: this.nowMs, outcome });
    return outcome;
  }

  advance(): void {
    this.nowMs += STEP_MS;
    for (const { key, servers, atMs } of this.#coming) {
      if (atMs <= this.nowMs) this.#counts.set(key, (this.#counts.get(key) ?? 0) + servers);
    }
    this.#coming = this.#coming.filter(({ atMs }) => atMs > this.nowMs);
  }

  #carryOut({ zone, isSpot, servers }: CapacityOrder): OrderOutcome {
    const key = `${zone} ${isSpot ? 'spot' : 'plain'}`;
    const present = this.#counts.get(key) ?? 0;
    const booting = this.#coming.filter((coming) => coming.key === key);
    const missing = servers - present - booting.reduce((sum, coming) => sum + coming.servers, 0);
    if (servers <= present) this.#counts.set(key, servers);
    if (missing <= 0) return 'accepted';
    if (isSpot && this.nowMs < (this.noSpotUntilMs.get(zone) ?? 0)) return 'conflict';
    this.#coming.push({ key, servers: missing, atMs: this.nowMs + BOOT_MS });
    return 'accepted';
  }
}

/** One daemon's part in the duty: polls at an interval and carries out one action at a time. */
export class SpotDaemon {
  readonly name: string;
  readonly #platform: SpotPlatform;
  readonly #duty: CapacityDuty;
  #nextPollAtMs: number;

  constructor(platform: SpotPlatform, name: string, firstPollMs = 0) {
    this.name = name;
    this.#platform = platform;
    this.#nextPollAtMs = firstPollMs;
    this.#duty = new CapacityDuty({
      daemon: name,
      incarnation: 1,
      leaseMs: LEASE_MS,
      toleratesZoneLoss: true,
    });
  }

  get isHolder(): boolean {
    return this.#duty.isHolder;
  }

  get duty(): CapacityDuty {
    return this.#duty;
  }

  step(): void {
    const { nowMs } = this.#platform;
    if (nowMs < this.#nextPollAtMs) return;
    const action = this.#duty.next(this.#platform.services(), nowMs);
    if (!this.#perform(action)) this.#nextPollAtMs = nowMs + POLL_MS;
  }

  /** @returns whether to take the next action at once instead of waiting for the next poll */
  #perform(action: CapacityAction): boolean {
    const { nowMs, refusedDaemons, version } = this.#platform;
    const isRefused = refusedDaemons.has(this.name);
    switch (action.kind) {
      case 'none':
        return false;
      case 'read':
        return this.#takeRecord(isRefused, false);
      case 'write': {
        const isWritten = !isRefused && action.expectedVersion === version;
        if (isWritten) {
          this.#platform.version += 1;
          this.#platform.record = action.record;
        }
        return this.#takeRecord(isRefused, isWritten);
      }
      case 'order': {
        const { order, fence } = action;
        const outcome = this.#platform.order(order, this.name, fence);
        this.#duty.recordOrderOutcome(outcome, order, BOOT_MS, nowMs);
        return true;
      }
    }
  }

  #takeRecord(isRefused: boolean, isOwnWrite: boolean): boolean {
    const { record, version, nowMs } = this.#platform;
    const seen = { kind: 'seen', record, version, era: 0, isOwnWrite } as const;
    this.#duty.applyRecord(isRefused ? { kind: 'refused' } : seen, nowMs, nowMs);
    return !isRefused;
  }
}

/** Advances virtual time for the platform and the given daemons. */
export function runFor(
  platform: SpotPlatform,
  daemons: readonly SpotDaemon[],
  spanMs: number,
): void {
  const endMs = platform.nowMs + spanMs;
  while (platform.nowMs < endMs) {
    platform.advance();
    for (const daemon of daemons) daemon.step();
  }
}
