/**
 * The plan of wrong bytes: for some seconds a part of the servers spoils answers, and the list of servers holds entries that
 * no daemon can call, beside kills and stops of daemons.
 */
import {
  CALM_END_MS,
  DEFAULT_SLOTS,
  FIRST_FAULT_MS,
  SeededRandom,
  type SoakPlan,
  type SoakSize,
  type TimedFault,
} from './plan.js';

const GARBLING_SERVERS_SHARE = 0.5;
const GARBLED_SHARES = [0.02, 0.05, 0.2] as const;
const MIN_FAULT_MS = 2_000;
const MAX_FAULT_MS = 5_000;
const MIN_GAP_MS = 800;
const MAX_GAP_MS = 3_000;
const SIGNAL_CHANCE = 0.4;
const DOWN_MS = 600;

export function planGarble(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const forMs = Math.min(endMs - atMs, Math.round(random.between(MIN_FAULT_MS, MAX_FAULT_MS)));
    const servers = random.subset(size.engines + size.webServers, GARBLING_SERVERS_SHARE);
    const share = random.pick(GARBLED_SHARES);
    faults.push({ atMs, fault: { kind: 'servers', how: 'garble', servers, share, forMs } });
    faults.push({ atMs: atMs + forMs / 2, fault: { kind: 'stray-rows', forMs: forMs / 2 } });
    if (random.chance(SIGNAL_CHANCE)) {
      const daemons = [random.whole(0, size.daemons - 1)];
      faults.push({ atMs: atMs + forMs / 2, fault: { kind: 'kill', daemons, downMs: DOWN_MS } });
    }
    atMs += forMs + Math.round(random.between(MIN_GAP_MS, MAX_GAP_MS));
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [] };
}
