/**
 * The plan of skewed load balancing: for some seconds most new connections go to one daemon, to the next one where that is
 * not ready, while callers open a new connection for each request.
 */
import { CALM_END_MS, DEFAULT_SLOTS, SeededRandom, type SoakPlan, type SoakSize } from './plan.js';

/** Calm before the first skew, to compare with. */
const FIRST_SKEW_MS = 6_000;
const SKEW_MS = 8_000;
const MIN_GAP_MS = 6_000;
const MAX_GAP_MS = 8_000;
const SHARES = [0.8, 0.95, 1] as const;

export function planSkews(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults = [];
  for (let atMs = FIRST_SKEW_MS; atMs + SKEW_MS <= endMs; ) {
    const daemon = random.whole(0, size.daemons - 1);
    const share = random.pick(SHARES);
    faults.push({ atMs, fault: { kind: 'skew', daemon, share, forMs: SKEW_MS } as const });
    atMs += SKEW_MS + Math.round(random.between(MIN_GAP_MS, MAX_GAP_MS));
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [] };
}
