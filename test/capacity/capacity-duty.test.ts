/** Who orders capacity and what: over daemons, a record and a platform in memory, in virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type CapacityAction,
  CapacityDuty,
  type CapacityRecord,
  type ScaledService,
} from '../../src/core/capacity/index.js';

const BOOT_MS = 4_000;
const LEASE_MS = 3_000;
const STEP_MS = 100;
const ZONES = ['a', 'b'];

interface Given {
  readonly daemon: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly servers: number;
  readonly fence: number;
  readonly atMs: number;
}

/** A platform whose servers come after their boot and go at once, and the duty's record. */
class Platform {
  nowMs = 0;
  version = 0;
  record: CapacityRecord | undefined;
  /** No servers are to be had until then. */
  dryUntilMs = 0;
  readonly given: Given[] = [];
  readonly counts = new Map<string, number>();
  #coming: { readonly key: string; readonly servers: number; readonly atMs: number }[] = [];

  constructor(plainPerZone: number) {
    for (const zone of ZONES) this.counts.set(`${zone} plain`, plainPerZone);
  }

  services(neededTotal: number): readonly ScaledService[] {
    const zonePrices = new Map(ZONES.map((zone) => [zone, 1]));
    const limits = { min: 1, max: 25, bootMs: BOOT_MS, spotPrice: 0.22, zonePrices };
    const zones = ZONES.map((zone) => ({
      zone,
      plain: this.counts.get(`${zone} plain`) ?? 0,
      spot: this.counts.get(`${zone} spot`) ?? 0,
    }));
    return [{ service: 'reader', limits, zones, neededTotal, neededWithHeadroom: neededTotal }];
  }

  order(given: Given): 'accepted' | 'conflict' {
    this.given.push(given);
    const key = `${given.zone} ${given.isSpot ? 'spot' : 'plain'}`;
    const present = this.counts.get(key) ?? 0;
    if (given.servers <= present) {
      this.counts.set(key, given.servers);
      return 'accepted';
    }
    if (this.nowMs < this.dryUntilMs) return 'conflict';
    this.#coming.push({ key, servers: given.servers, atMs: this.nowMs + BOOT_MS });
    return 'accepted';
  }

  advance(): void {
    this.nowMs += STEP_MS;
    for (const { key, servers, atMs } of this.#coming) {
      if (atMs <= this.nowMs) this.counts.set(key, servers);
    }
    this.#coming = this.#coming.filter(({ atMs }) => atMs > this.nowMs);
  }

  count(kind: 'plain' | 'spot'): number {
    return ZONES.reduce((sum, zone) => sum + (this.counts.get(`${zone} ${kind}`) ?? 0), 0);
  }
}

class Daemon {
  readonly #name: string;
  readonly #platform: Platform;
  readonly #duty: CapacityDuty;

  constructor(platform: Platform, name: string, incarnation: number) {
    this.#name = name;
    this.#platform = platform;
    this.#duty = new CapacityDuty({
      daemon: name,
      incarnation,
      leaseMs: LEASE_MS,
      toleratesZoneLoss: false,
    });
  }

  get isHolder(): boolean {
    return this.#duty.isHolder;
  }

  step(neededTotal = 0): void {
    const { nowMs } = this.#platform;
    this.#perform(this.#duty.next(this.#platform.services(neededTotal), nowMs));
  }

  #perform(action: CapacityAction): void {
    const { nowMs, version } = this.#platform;
    switch (action.kind) {
      case 'none':
        return;
      case 'read':
        this.#takeRecord(false);
        return;
      case 'write': {
        const isCurrent = action.expectedVersion === version;
        if (isCurrent) {
          this.#platform.version += 1;
          this.#platform.record = action.record;
        }
        this.#takeRecord(isCurrent);
        return;
      }
      case 'order': {
        const { order, fence } = action;
        const given = { ...order, daemon: this.#name, fence, atMs: nowMs };
        this.#duty.recordOrderOutcome(this.#platform.order(given), order, BOOT_MS, nowMs);
      }
    }
  }

  #takeRecord(isOwnWrite: boolean): void {
    const { record, version, nowMs } = this.#platform;
    this.#duty.applyRecord({ kind: 'seen', record, version, era: 0, isOwnWrite }, nowMs, nowMs);
  }
}

function play(platform: Platform, daemons: readonly Daemon[], spanMs: number, needed = 0): void {
  const endMs = platform.nowMs + spanMs;
  while (platform.nowMs < endMs) {
    platform.advance();
    for (const daemon of daemons) daemon.step(needed);
  }
}

function fleet(names: readonly string[]): readonly [Platform, Daemon[]] {
  const platform = new Platform(12);
  return [platform, names.map((name) => new Daemon(platform, name, 1))];
}

test('one daemon orders spot servers for the plain ones, and never has fewer in all meanwhile', () => {
  const [platform, daemons] = fleet(['x', 'y', 'z']);
  for (let steps = 0; steps < 200; steps += 1) {
    play(platform, daemons, STEP_MS);
    assert.ok(platform.count('plain') + platform.count('spot') >= 24);
  }
  assert.equal(platform.count('plain'), 2);
  assert.equal(platform.count('spot'), 22);
  assert.equal(new Set(platform.given.map(({ daemon }) => daemon)).size, 1);
  assert.equal(platform.given.length, 4, 'each zone was told once of each kind');
});

test('spot servers that were taken away come back once there are some again', () => {
  const [platform, daemons] = fleet(['x', 'y']);
  play(platform, daemons, 20_000);
  platform.counts.set('a spot', 0);
  platform.dryUntilMs = platform.nowMs + 5_000;
  play(platform, daemons, 20_000);
  assert.equal(platform.count('spot'), 22);
  assert.equal(platform.count('plain'), 2);
  assert.equal(new Set(platform.given.map(({ fence }) => fence)).size, 1);
});

test('a successor steps in when the holder is gone, under a higher fence, and knows what was wanted', () => {
  const [platform, daemons] = fleet(['x', 'y']);
  play(platform, daemons, 20_000);
  const others = daemons.filter(({ isHolder }) => !isHolder);
  assert.equal(others.length, 1);
  platform.counts.set('a spot', 0);
  const before = platform.given.length;
  play(platform, others, 30_000);
  assert.equal(platform.count('spot'), 22);
  const later = platform.given.slice(before);
  assert.ok(later.every(({ fence }) => fence > (platform.given[0]?.fence ?? 0)));
  assert.ok((later[0]?.atMs ?? 0) >= 20_000 + LEASE_MS);
});

test('another life of the holder orders under a higher fence as well', () => {
  const [platform, daemons] = fleet(['x']);
  play(platform, daemons, 20_000);
  platform.counts.set('b spot', 0);
  play(platform, [new Daemon(platform, 'x', 2)], 30_000);
  assert.equal(platform.count('spot'), 22);
  assert.deepEqual([...new Set(platform.given.map(({ fence }) => fence))], [1, 2]);
});

test('plain servers come in place of lost ones within two boots where the work needs them', () => {
  const [platform, daemons] = fleet(['x', 'y']);
  play(platform, daemons, 20_000);
  platform.counts.set('a spot', 0);
  play(platform, daemons, 2 * BOOT_MS, 20);
  assert.ok(platform.count('plain') + platform.count('spot') >= 20);
});

// After its record was lost with the store's copy a duty went by what its daemon had seen first.
test('what zones are to have is kept where the record is lost as the store comes back from a copy', () => {
  const [platform] = fleet([]);
  const duty = new CapacityDuty({
    daemon: 'x',
    incarnation: 1,
    leaseMs: LEASE_MS,
    toleratesZoneLoss: false,
  });
  const head = { holder: 'y', incarnation: 1, fence: 1 };
  const seen = { kind: 'seen', isOwnWrite: false } as const;
  const record = { ...head, wantedPerZone: { reader: 7 } };
  duty.next(platform.services(0), 0);
  duty.applyRecord({ ...seen, record, version: 5, era: 0 }, 0, 0);
  duty.applyRecord({ ...seen, record: undefined, version: 0, era: 1 }, 100, 100);
  duty.applyRecord({ ...seen, record: undefined, version: 0, era: 1 }, 3_000, 3_000);
  const action = duty.next(platform.services(0), 3_200);
  assert.equal(action.kind === 'write' ? action.record.wantedPerZone.reader : action.kind, 7);
});
