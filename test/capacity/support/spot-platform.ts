/** A platform in memory and virtual time whose spot servers are taken away, the duty's record, and daemons over it. */
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
const LOOK_MS = 200;
const STEP_MS = 50;
const PRICES = new Map([
  ['a', 1],
  ['b', 0.8],
  ['c', 1.25],
]);

/** An order that reached the platform. */
export interface GivenOrder extends CapacityOrder {
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

/** Servers come after their boot and go at once. */
export class SpotPlatform {
  nowMs = 0;
  version = 0;
  record: CapacityRecord | undefined;
  /** Daemons that the store turns away. */
  readonly turnedAway = new Set<string>();
  /** Until when a zone has no spot servers to give. */
  readonly dryUntilMs = new Map<string, number>();
  readonly given: GivenOrder[] = [];
  neededWithHeadroom: number;
  readonly spotPrice: number;
  readonly #counts = new Map<string, number>();
  #coming: Coming[] = [];

  constructor(plainPerZone: number, neededWithHeadroom: number, spotPrice = 0.18) {
    for (const zone of PRICES.keys()) this.#counts.set(`${zone} plain`, plainPerZone);
    this.neededWithHeadroom = neededWithHeadroom;
    this.spotPrice = spotPrice;
  }

  /** Spot servers of a zone say that they leave; none are to be had there for a while. */
  takeAway(zone: string, dryMs: number): void {
    this.#counts.set(`${zone} spot`, 0);
    this.#coming = this.#coming.filter(({ key }) => key !== `${zone} spot`);
    this.dryUntilMs.set(zone, this.nowMs + dryMs);
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
    this.given.push({ ...order, daemon, fence, atMs: this.nowMs, outcome });
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
    if (isSpot && this.nowMs < (this.dryUntilMs.get(zone) ?? 0)) return 'conflict';
    this.#coming.push({ key, servers: missing, atMs: this.nowMs + BOOT_MS });
    return 'accepted';
  }
}

/** One daemon's part; it looks by turns, and makes one call after the other. */
export class SpotDaemon {
  readonly name: string;
  readonly #platform: SpotPlatform;
  readonly #duty: CapacityDuty;
  #lookAtMs: number;

  constructor(platform: SpotPlatform, name: string, firstLookMs = 0) {
    this.name = name;
    this.#platform = platform;
    this.#lookAtMs = firstLookMs;
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
    if (nowMs < this.#lookAtMs) return;
    const action = this.#duty.next(this.#platform.services(), nowMs);
    if (!this.#perform(action)) this.#lookAtMs = nowMs + LOOK_MS;
  }

  /** @returns whether there may be more to do at once */
  #perform(action: CapacityAction): boolean {
    const { nowMs, turnedAway, version } = this.#platform;
    const isTurnedAway = turnedAway.has(this.name);
    switch (action.kind) {
      case 'none':
        return false;
      case 'read':
        return this.#takeRecord(isTurnedAway, false);
      case 'write': {
        const isWritten = !isTurnedAway && action.expectedVersion === version;
        if (isWritten) {
          this.#platform.version += 1;
          this.#platform.record = action.record;
        }
        return this.#takeRecord(isTurnedAway, isWritten);
      }
      case 'order': {
        const { order, fence } = action;
        const outcome = this.#platform.order(order, this.name, fence);
        this.#duty.recordOrderOutcome(outcome, order, BOOT_MS, nowMs);
        return true;
      }
    }
  }

  #takeRecord(isTurnedAway: boolean, isOwnWrite: boolean): boolean {
    const { record, version, nowMs } = this.#platform;
    const seen = { kind: 'seen', record, version, era: 0, isOwnWrite } as const;
    this.#duty.applyRecord(isTurnedAway ? { kind: 'refused' } : seen, nowMs, nowMs);
    return !isTurnedAway;
  }
}

/** Lets time pass for these daemons. */
export function play(platform: SpotPlatform, daemons: readonly SpotDaemon[], spanMs: number): void {
  const endMs = platform.nowMs + spanMs;
  while (platform.nowMs < endMs) {
    platform.advance();
    for (const daemon of daemons) daemon.step();
  }
}
