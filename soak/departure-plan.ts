/**
 * The plan of departures: servers drain, or their rows go without a drain, in series that overlap, while the list never
 * rests, streams break and daemons freeze. In a fleet with relays some of the frozen daemons are relays.
 */
import {
  CALM_END_MS,
  DEFAULT_SLOTS,
  type Fault,
  FIRST_FAULT_MS,
  SeededRandom,
  type SoakPlan,
  type SoakSize,
  type TimedFault,
} from './plan.js';

const MIN_GAP_MS = 1_500;
const MAX_GAP_MS = 4_000;
/** Share of the servers that depart together. */
const DEPARTURE_SHARES = [0.1, 0.2, 0.3] as const;
const MAX_SERVER_GAP_MS = 600;
const UNANNOUNCED_SHARES = [0, 0.5, 1] as const;
/** Streams of a version whose last server drains can be resumed only there. */
const SOFTWARE_VERSIONS = ['v1', 'v2', 'v3'] as const;
/** Rows are written anew at this interval, as in a release. */
const CHURN_MS = 150;
const LONG_STREAM_SHARE = 0.5;
const LATE_WRITE_SHARE = 0.5;
const MAX_LATE_WRITE_MS = 1_500;
/** Late writes are drawn by a generator of their own, so that a seed keeps its other faults. */
const LATE_WRITE_SEED_OFFSET = 1_000_003;

export function planDepartures(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const lateWrites = new SeededRandom(seed + LATE_WRITE_SEED_OFFSET);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const churn: Fault = { kind: 'list-churn', everyMs: CHURN_MS, forMs: endMs - FIRST_FAULT_MS };
  const faults: TimedFault[] = [{ atMs: FIRST_FAULT_MS, fault: churn }];
  const add = (atMs: number, fault: Fault) => {
    if (atMs < endMs) faults.push({ atMs: Math.round(atMs), fault });
  };
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const gapMs = random.between(MIN_GAP_MS, MAX_GAP_MS);
    add(atMs, drawDeparture(random, lateWrites, size));
    add(atMs + random.between(0, gapMs), drawFreeze(random, size));
    add(atMs + random.between(0, gapMs), drawBreaks(random, size));
    atMs += gapMs;
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  const ordered = faults.sort((left, right) => left.atMs - right.atMs);
  return { seed, size, servers, faults: ordered, crashing: [], longStreamShare: LONG_STREAM_SHARE };
}

function drawDeparture(
  random: SeededRandom,
  lateWrites: SeededRandom,
  { engines, webServers }: SoakSize,
): Fault {
  const hasLateWrites = lateWrites.between(0, 1) < LATE_WRITE_SHARE;
  const lateWriteMs = lateWrites.between(0, MAX_LATE_WRITE_MS);
  return {
    kind: 'departures',
    servers: random.subset(engines + webServers, random.pick(DEPARTURE_SHARES)),
    unannouncedShare: random.pick(UNANNOUNCED_SHARES),
    softwareVersion: random.pick(SOFTWARE_VERSIONS),
    gapMs: random.between(0, MAX_SERVER_GAP_MS),
    lateWriteAfterMs: hasLateWrites ? lateWriteMs : undefined,
  };
}

function drawFreeze(random: SeededRandom, { daemons }: SoakSize): Fault {
  return {
    kind: 'freeze',
    daemons: random.subset(daemons, random.pick([0.1, 0.2])),
    forMs: random.between(200, 3_000),
  };
}

function drawBreaks(random: SeededRandom, { engines }: SoakSize): Fault {
  return {
    kind: 'servers',
    how: 'break-off',
    servers: random.subset(engines, 1),
    share: random.pick([0.1, 0.4]),
    forMs: random.between(300, 1_500),
  };
}
