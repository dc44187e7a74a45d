/**
 * The plan of crowds: callers that do not behave, and servers whose answers do not end, overlapping with kills, stops and
 * reloads of daemons that have the memory and the descriptors of a small machine.
 */
import { CROWD_KINDS, type CrowdKind } from './crowd-fault.js';
import {
  CALM_END_MS,
  DEFAULT_SLOTS,
  type Fault,
  FIRST_FAULT_MS,
  type SeededRandom,
  type SoakPlan,
  type SoakSize,
  settledRandom,
  type TimedFault,
} from './plan.js';

/** What the settings name, and processes must keep to. */
const MACHINE = { memoryMb: 350, descriptors: 4_100 } as const;
/** The fewest and the most connections of a crowd to one daemon. */
const CALLERS: Readonly<Record<CrowdKind, readonly [number, number]>> = {
  'tiny-chunks': [20, 80],
  'large-chunks': [100, 350],
  'declared-lengths': [100, 300],
  'small-headers': [200, 800],
  'unfinished-heads': [200, 1_000],
  pipelined: [20, 60],
  'brief-connections': [300, 1_200],
  'unread-streams': [4, 12],
};
const DAEMON_SHARES = [0.17, 0.34, 0.5] as const;
const COME_BACK_CHANCE = 0.5;
/** Probability that the next crowd follows soon, so that crowds overlap. */
const SERIES_CHANCE = 0.4;
const SERIES_GAP_MS = 300;
const MIN_GAP_MS = 1_000;
const MAX_GAP_MS = 3_000;
const MIN_CROWD_MS = 2_000;
const MAX_CROWD_MS = 6_000;
const SERVERS_CHANCE = 0.5;
const SERVERS_SHARE = 0.5;
const ENDLESS_SHARES = [0.02, 0.1] as const;
const MIN_ENDLESS_MS = 1_000;
const MAX_ENDLESS_MS = 4_000;
const PROCESS_CHANCE = 0.5;
const MIN_DOWN_MS = 200;
const MAX_DOWN_MS = 1_500;

export function planCrowds(seed: number, size: SoakSize): SoakPlan {
  const random = settledRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const untilEndMs = endMs - atMs;
    faults.push({ atMs, fault: drawCrowd(random, size, untilEndMs) });
    if (random.chance(SERVERS_CHANCE)) {
      faults.push({ atMs, fault: drawEndlessAnswers(random, size, untilEndMs) });
    }
    if (random.chance(PROCESS_CHANCE)) {
      const laterMs = Math.min(untilEndMs, random.between(0, MAX_CROWD_MS));
      faults.push({ atMs: Math.round(atMs + laterMs), fault: drawProcessFault(random, size) });
    }
    const isSeries = random.chance(SERIES_CHANCE);
    atMs += isSeries ? SERIES_GAP_MS : Math.round(random.between(MIN_GAP_MS, MAX_GAP_MS));
  }
  return {
    seed,
    size,
    servers: { webSlots: DEFAULT_SLOTS, paces: [] },
    faults: faults.sort((left, right) => left.atMs - right.atMs),
    crashing: [],
    machine: MACHINE,
  };
}

function drawCrowd(random: SeededRandom, { daemons }: SoakSize, untilEndMs: number): Fault {
  const crowd = random.pick(CROWD_KINDS);
  const [fewest, most] = CALLERS[crowd];
  return {
    kind: 'crowd',
    crowd,
    daemons: random.subset(daemons, random.pick(DAEMON_SHARES)),
    callers: random.whole(fewest, most),
    comeBack: random.chance(COME_BACK_CHANCE),
    forMs: Math.round(Math.min(untilEndMs, random.between(MIN_CROWD_MS, MAX_CROWD_MS))),
  };
}

function drawEndlessAnswers(
  random: SeededRandom,
  { engines, webServers }: SoakSize,
  untilEndMs: number,
): Fault {
  return {
    kind: 'servers',
    how: 'answer-without-end',
    servers: random.subset(engines + webServers, SERVERS_SHARE),
    share: random.pick(ENDLESS_SHARES),
    forMs: Math.round(Math.min(untilEndMs, random.between(MIN_ENDLESS_MS, MAX_ENDLESS_MS))),
  };
}

function drawProcessFault(random: SeededRandom, size: SoakSize): Fault {
  const daemons = [random.whole(0, size.daemons - 1)];
  switch (random.pick(['kill', 'stop', 'reload'] as const)) {
    case 'kill':
      return {
        kind: 'kill',
        daemons,
        downMs: Math.round(random.between(MIN_DOWN_MS, MAX_DOWN_MS)),
      };
    case 'stop':
      return { kind: 'stop', daemons, gapMs: 0 };
    case 'reload':
      return { kind: 'reload', daemons };
  }
}
