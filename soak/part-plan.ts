/**
 * The plan of parts of prompts that crash servers: requests with such a part come at any daemon, no two alike, while
 * daemons are killed, stopped and frozen, the store refuses some of them or is away, and servers crash for reasons of
 * their own.
 */
import {
  CALM_END_MS,
  type CrashingPart,
  DEFAULT_SLOTS,
  type Fault,
  FIRST_FAULT_MS,
  SeededRandom,
  type SoakPlan,
  type SoakSize,
  type TimedFault,
} from './plan.js';

/** Calm before the first part comes, to compare with. */
const FIRST_PART_MS = 5_000;
const LAST_PART_MS = 9_000;
const MAX_PARTS = 2;
const MIN_GAP_MS = 80;
const MAX_GAP_MS = 250;
const MIN_FAULT_GAP_MS = 600;
const MAX_FAULT_GAP_MS = 2_500;
/** Share of the seeds without other faults, so that what sound requests keep can be judged. */
const CALM_SHARE = 0.4;
const POSITIONS = ['first', 'second', 'third'] as const;

export function planParts(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const crashingParts = Array.from({ length: random.whole(1, MAX_PARTS) }, () => ({
    fromMs: Math.round(random.between(FIRST_PART_MS, LAST_PART_MS)),
    gapMs: Math.round(random.between(MIN_GAP_MS, MAX_GAP_MS)),
    position: random.pick<CrashingPart['position']>(POSITIONS),
  }));
  const faults = random.chance(CALM_SHARE) ? [] : drawFaults(random, size, endMs);
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [], crashingParts, hasDistinctBodies: true };
}

function drawFaults(random: SeededRandom, size: SoakSize, endMs: number): readonly TimedFault[] {
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    faults.push({ atMs: Math.round(atMs), fault: drawFault(random, size) });
    atMs += random.between(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS);
  }
  return faults;
}

function drawFault(random: SeededRandom, { daemons, engines }: SoakSize): Fault {
  const some = random.subset(daemons, random.pick([0.1, 0.3]));
  const forMs = random.between(500, 4_000);
  switch (random.pick(['kill', 'stop', 'freeze', 'refuses', 'down', 'crash'] as const)) {
    case 'kill':
      return { kind: 'kill', daemons: some, downMs: random.between(100, 2_000) };
    case 'stop':
      return { kind: 'stop', daemons: some, gapMs: random.between(50, 500) };
    case 'freeze':
      return { kind: 'freeze', daemons: some, forMs };
    case 'refuses':
      return { kind: 'store-refuses', daemons: some, how: 'too-many', forMs };
    case 'down':
      return { kind: 'store-down', how: 'unavailable', forMs };
    case 'crash':
      return {
        kind: 'crash',
        servers: random.subset(engines, 0.2),
        downMs: random.between(300, 2_000),
      };
  }
}
