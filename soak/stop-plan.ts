/**
 * The plan of stops: waves of stop signals, one daemon after another as in a rolling restart or several at once, beside
 * engines that change their pace, let requests wait or begin streams late. Callers keep their connections, and their streams
 * last longer than a stop may.
 */
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
import type { RequestClass } from './request-class.js';
import type { TimedSignal } from './start-fault.js';

/** Slower than in other plans, so that streams last long with few events. */
const TOKEN_MS = 25;
const STREAM_TIMEOUT_MS = 15_000;
const WEB_TIMEOUT_MS = 1_500;
/** Callers that together send about one request a second: most of their time they wait for streams. */
const SESSIONS_PER_RATE = 1.5;
const SLOW_READER_SHARE = 0.1;
/** Of a rolling restart some daemons are left out, so that streams find peers. */
const ROLL_SHARES = [0.5, 0.7] as const;
const OVERLAP_SHARES = [1 / 3, 1 / 2] as const;
const MIN_ROLL_GAP_MS = 1_000;
const MAX_ROLL_GAP_MS = 2_000;
const MAX_OVERLAP_GAP_MS = 400;
const MIN_WAVE_GAP_MS = 5_500;
const MAX_WAVE_GAP_MS = 8_000;
/** Further signals come at any time of a stop, which has 8 s. */
const MAX_LATER_SIGNAL_MS = 6_000;
const LATER_SIGNAL_CHANCE = 0.4;
const CHANGE_CHANCE = 0.5;
const MAX_CHANGE_DELAY_MS = 5_000;
const STOP_AGAIN_CHANCE = 0.4;
/** Processes that stop so soon have seen few requests or none. */
const MAX_YOUNG_MS = 2_500;
/** The share of seeds in which daemons stand still over a signal. */
const FREEZE_CHANCE = 0.25;
const MIN_FREEZE_MS = 200;
const MAX_FREEZE_MS = 900;
/** Engines change their pace so long before the first signal of a wave, at it, or after it. */
const PACE_OFFSETS_MS = [-1_500, 0, 2_500, 3_000, 3_500, 4_000] as const;
const MIN_SLOWDOWN = 5;
const MAX_SLOWDOWN = 10;
const MIN_SLOW_MS = 2_000;
const MAX_SLOW_MS = 8_000;
const ENGINE_SHARES = [0.5, 1, 1] as const;
const QUEUE_CHANCE = 0.4;
const MIN_QUEUE_SLOTS = 2;
const MAX_QUEUE_SLOTS = 10;
const LATE_FIRST_TOKEN_CHANCE = 0.3;
const MIN_FIRST_TOKEN_DELAY_MS = 500;
const MAX_FIRST_TOKEN_DELAY_MS = 5_000;
const MIN_TROUBLE_MS = 1_000;
const MAX_TROUBLE_MS = 5_000;

const STREAMS = {
  kind: 'streaming',
  attempts: 2,
  timeoutMs: STREAM_TIMEOUT_MS,
} as const;
/** Late enough that daemons seldom refuse streams as engines become slower: more of them run as a daemon stops. */
const STREAM_LATENCY_MS = 3_000;
const BATCH_LATENCY_MS = 6_000;
const WEB = { timeoutMs: WEB_TIMEOUT_MS, targetLatencyMs: 150, isResumable: false } as const;

const CLASSES: readonly RequestClass[] = [
  { name: 'get', pathPrefix: '/get/', kind: 'idempotent', attempts: 2, ...WEB, share: 0.15 },
  { name: 'post', pathPrefix: '/post/', kind: 'non-idempotent', attempts: 2, ...WEB, share: 0.15 },
  {
    ...STREAMS,
    name: 'generate',
    pathPrefix: '/generate/',
    targetLatencyMs: STREAM_LATENCY_MS,
    isResumable: true,
    share: 0.35,
  },
  {
    ...STREAMS,
    name: 'batch',
    pathPrefix: '/batch/',
    targetLatencyMs: BATCH_LATENCY_MS,
    isResumable: false,
    share: 0.35,
  },
];

export function planStops(seed: number, size: SoakSize): SoakPlan {
  const random = settledRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const hasFreezes = random.chance(FREEZE_CHANCE);
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    faults.push(...drawWave(random, size, atMs, hasFreezes), ...drawTrouble(random, size, atMs));
    atMs += random.between(MIN_WAVE_GAP_MS, MAX_WAVE_GAP_MS);
  }
  return {
    seed,
    size,
    servers: { webSlots: DEFAULT_SLOTS, paces: [], tokenMs: TOKEN_MS },
    faults: faults
      .filter(({ atMs }) => atMs <= endMs)
      .map(({ atMs, fault }) => ({ atMs: Math.floor(atMs), fault: endingBy(endMs - atMs, fault) }))
      .sort((left, right) => left.atMs - right.atMs),
    crashing: [],
    sessions: {
      count: Math.round(size.requestsPerSecond * SESSIONS_PER_RATE),
      classes: CLASSES,
      slowReaderShare: SLOW_READER_SHARE,
    },
    hasStrictStops: true,
  };
}

/** Stops of several daemons with what operators do meanwhile. */
function drawWave(
  random: SeededRandom,
  { daemons }: SoakSize,
  atMs: number,
  hasFreezes: boolean,
): readonly TimedFault[] {
  const isRoll = random.chance(0.5);
  const stopped = random.subset(daemons, random.pick(isRoll ? ROLL_SHARES : OVERLAP_SHARES));
  const faults: TimedFault[] = [];
  let signalMs = atMs;
  for (const daemon of stopped) {
    faults.push({ atMs: signalMs, fault: drawStop(random, daemon) });
    if (hasFreezes && random.chance(0.5)) faults.push(drawFreeze(random, daemon, signalMs));
    signalMs += isRoll
      ? random.between(MIN_ROLL_GAP_MS, MAX_ROLL_GAP_MS)
      : random.between(0, MAX_OVERLAP_GAP_MS);
  }
  if (random.chance(CHANGE_CHANCE)) {
    const fault: Fault = { kind: 'change', change: 'move-route' };
    faults.push({ atMs: atMs + random.between(0, MAX_CHANGE_DELAY_MS), fault });
  }
  return faults;
}

/** A stop, often with signals that follow, or with another stop of the process that is started after it. */
function drawStop(random: SeededRandom, daemon: number): Fault {
  const daemons = [daemon];
  if (random.chance(STOP_AGAIN_CHANCE)) {
    return { kind: 'stop-again', daemons, afterMs: Math.round(random.between(0, MAX_YOUNG_MS)) };
  }
  const later = (['SIGTERM', 'SIGHUP'] as const).flatMap((signal): readonly TimedSignal[] => {
    if (!random.chance(LATER_SIGNAL_CHANCE)) return [];
    return [{ signal, afterMs: Math.round(random.between(0, MAX_LATER_SIGNAL_MS)) }];
  });
  const first: TimedSignal = { signal: 'SIGTERM', afterMs: 0 };
  const inOrder = later.sort((left, right) => left.afterMs - right.afterMs);
  return { kind: 'signals', daemons, signals: [first, ...inOrder] };
}

function drawFreeze(random: SeededRandom, daemon: number, signalMs: number): TimedFault {
  const forMs = random.between(MIN_FREEZE_MS, MAX_FREEZE_MS);
  const fault: Fault = { kind: 'freeze', daemons: [daemon], forMs };
  return { atMs: signalMs - random.between(0, forMs), fault };
}

/** What engines do around a wave of stops. */
function drawTrouble(
  random: SeededRandom,
  { engines }: SoakSize,
  atMs: number,
): readonly TimedFault[] {
  const servers = () => random.subset(engines, random.pick(ENGINE_SHARES));
  const faults: TimedFault[] = [
    {
      atMs: atMs + random.pick(PACE_OFFSETS_MS),
      fault: {
        kind: 'pace',
        servers: servers(),
        factor: random.between(MIN_SLOWDOWN, MAX_SLOWDOWN),
        forMs: random.between(MIN_SLOW_MS, MAX_SLOW_MS),
      },
    },
  ];
  const beside = () => atMs + random.between(0, MAX_TROUBLE_MS);
  const forMs = () => random.between(MIN_TROUBLE_MS, MAX_TROUBLE_MS);
  if (random.chance(QUEUE_CHANCE)) {
    const slots = random.whole(MIN_QUEUE_SLOTS, MAX_QUEUE_SLOTS);
    const fault: Fault = { kind: 'queue', servers: servers(), slots, forMs: forMs() };
    faults.push({ atMs: beside(), fault });
  }
  if (random.chance(LATE_FIRST_TOKEN_CHANCE)) {
    const delayMs = random.between(MIN_FIRST_TOKEN_DELAY_MS, MAX_FIRST_TOKEN_DELAY_MS);
    const fault: Fault = { kind: 'late-first-tokens', servers: servers(), delayMs, forMs: forMs() };
    faults.push({ atMs: beside(), fault });
  }
  return faults;
}

/** The fault cut short so that it ends before the calm end. */
function endingBy(remainingMs: number, fault: Fault): Fault {
  return 'forMs' in fault ? { ...fault, forMs: Math.min(fault.forMs, remainingMs) } : fault;
}
