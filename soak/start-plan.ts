/**
 * The plan of starts: series of signals from the first moment of processes on, restarts that overlap, ports that are taken
 * and settings that are not whole as processes start. Most daemons, the steady ones, get planned work only, so that the
 * requests that they have in flight are judged; but once all daemons are killed together and their young processes reloaded.
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
import type { DaemonPort, SeriesSignal, SettingsFlaw, TimedSignal } from './start-fault.js';

/** As few daemons as leave some of most zones: a daemon that hears of fewer takes no stream up. */
const STRUCK_SHARE = 1 / 3;
/** Probability that the next fault follows soon, so that restarts overlap. */
const SERIES_CHANCE = 0.5;
const SERIES_GAP_MS = 300;
const MIN_GAP_MS = 1_000;
const MAX_GAP_MS = 3_000;
const MIN_STEADY_GAP_MS = 900;
const MAX_STEADY_GAP_MS = 2_500;
const MAX_DOWN_MS = 300;
const MIN_HINDRANCE_MS = 200;
const MAX_HINDRANCE_MS = 3_000;
/** Metrics must not keep a daemon from serving, however long their port is taken. */
const MAX_METRICS_TAKEN_MS = 7_000;
/** Series of signals last until some time after a process has started, also on a busy machine. */
const MAX_SERIES_MS = 900;
/** So soon a process still loads the daemon's program. */
const MAX_LAST_STOP_MS = 5;
const MAX_SIGNALS = 12;
const MAX_STOP_SIGNALS = 4;
/** Stops last a few seconds; the signals that follow the first come at any time of them. */
const MAX_STOP_SPAN_MS = 3_000;
/** A settings file that lacks more than its last section cannot be taken for a whole one. */
const MAX_KEPT_SHARE = 0.9;
const LONG_STREAM_SHARE = 0.6;

const FLAWS: readonly [SettingsFlaw, ...SettingsFlaw[]] = ['missing', 'empty', 'cut', 'cut'];
const SERVING_PORTS: readonly [DaemonPort, ...DaemonPort[]] = [
  'callers',
  'readiness',
  'peers-tcp',
  'peers-udp',
];
const SERIES: readonly [readonly SeriesSignal[], ...(readonly SeriesSignal[])[]] = [
  ['SIGHUP'],
  ['SIGHUP', 'SIGHUP', 'SIGTERM'],
  ['SIGTERM'],
  ['SIGHUP', 'SIGKILL'],
  ['SIGHUP', 'SIGHUP', 'SIGTERM', 'SIGINT', 'SIGKILL'],
];

/** Before a process loads the daemon's program, a signal ends it; most series come later and are held. */
const SINCE = ['start', 'program', 'program'] as const;

type Daemons = readonly [number, ...number[]];
type Draw = (random: SeededRandom, daemons: Daemons, endMs: number) => Fault;

export function planStarts(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const all = Array.from({ length: size.daemons }, (_, index) => index);
  const struck = random.subset(size.daemons, STRUCK_SHARE);
  const steady = all.filter((index) => !struck.includes(index));
  const herdMs = Math.round(random.between(endMs / 2, endMs - MAX_SERIES_MS));
  const faults = [
    ...drawFaults(random, struck, endMs),
    ...drawSteadyWork(random, steady, endMs),
    { atMs: herdMs, fault: drawHerd(random, all) },
    { atMs: endMs, fault: drawLastStop(random, struck) },
  ];
  return {
    seed,
    size,
    servers: { webSlots: DEFAULT_SLOTS, paces: [] },
    faults: faults.sort((left, right) => left.atMs - right.atMs),
    crashing: [],
    longStreamShare: LONG_STREAM_SHARE,
  };
}

/** Faults of the daemons that are not steady. */
function drawFaults(
  random: SeededRandom,
  indexes: readonly number[],
  endMs: number,
): readonly TimedFault[] {
  const [first, ...others] = indexes;
  if (first === undefined) return [];
  const daemons: Daemons = [first, ...others];
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const draw = random.pick(DRAWS);
    faults.push({ atMs, fault: draw(random, daemons, endMs - atMs) });
    const isSeries = random.chance(SERIES_CHANCE);
    atMs += isSeries ? SERIES_GAP_MS : Math.round(random.between(MIN_GAP_MS, MAX_GAP_MS));
  }
  return faults;
}

/** Work on the steady daemons that must cut no request: stops by several signals, and reloads with any settings. */
function drawSteadyWork(
  random: SeededRandom,
  indexes: readonly number[],
  endMs: number,
): readonly TimedFault[] {
  const [first, ...others] = indexes;
  if (first === undefined) return [];
  const daemons: Daemons = [first, ...others];
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const draw = random.pick([drawRepeatedStop, drawRepeatedStop, drawReload, drawReloads]);
    faults.push({ atMs, fault: draw(random, daemons, endMs - atMs) });
    atMs += Math.round(random.between(MIN_STEADY_GAP_MS, MAX_STEADY_GAP_MS));
  }
  return faults;
}

const DRAWS: readonly [Draw, ...Draw[]] = [
  drawYoungSignals,
  drawYoungSignals,
  drawPorts,
  drawPorts,
  drawMetricsPort,
  drawSettingsAtStart,
  drawSettingsAtStart,
  drawReloads,
];

/** Kills all of the daemons and reloads their young processes. */
function drawHerd(random: SeededRandom, daemons: readonly number[]): Fault {
  return {
    kind: 'young-signals',
    daemons,
    downMs: random.between(0, MAX_DOWN_MS),
    since: random.pick(SINCE),
    signals: drawSeries(random, ['SIGHUP']),
  };
}

/** Stops young processes when nothing else follows that could end one which does not stop. */
function drawLastStop(random: SeededRandom, daemons: readonly number[]): Fault {
  const afterMs = Math.round(random.between(0, MAX_LAST_STOP_MS));
  return {
    kind: 'young-signals',
    daemons,
    downMs: 0,
    since: 'program',
    signals: [{ signal: 'SIGTERM', afterMs }],
  };
}

function drawYoungSignals(random: SeededRandom, daemons: Daemons): Fault {
  return {
    kind: 'young-signals',
    daemons: drawDaemons(random, daemons),
    downMs: random.between(0, MAX_DOWN_MS),
    since: random.pick(SINCE),
    signals: drawSeries(random, random.pick(SERIES)),
  };
}

/** Some signals of the given kinds at any time of a process's start. */
function drawSeries(random: SeededRandom, kinds: readonly SeriesSignal[]): readonly TimedSignal[] {
  const count = random.whole(1, MAX_SIGNALS);
  const times = Array.from({ length: count }, () => random.between(0, MAX_SERIES_MS));
  return times
    .sort((left, right) => left - right)
    .map((afterMs) => ({
      afterMs: Math.round(afterMs),
      signal: kinds[random.whole(0, kinds.length - 1)] ?? 'SIGHUP',
    }));
}

function drawPorts(random: SeededRandom, daemons: Daemons, spanMs: number): Fault {
  const first = random.pick(SERVING_PORTS);
  const second = random.pick(SERVING_PORTS);
  const ports = random.chance(0.3) && first !== second ? [first, second] : [first];
  return drawTakenPorts(random, daemons, ports, drawHindranceMs(random, spanMs));
}

function drawMetricsPort(random: SeededRandom, daemons: Daemons, spanMs: number): Fault {
  const forMs = Math.min(spanMs, random.between(MIN_HINDRANCE_MS, MAX_METRICS_TAKEN_MS));
  return drawTakenPorts(random, daemons, ['metrics'], forMs);
}

function drawTakenPorts(
  random: SeededRandom,
  daemons: Daemons,
  ports: readonly DaemonPort[],
  forMs: number,
): Fault {
  return {
    kind: 'ports-taken',
    daemons: drawDaemons(random, daemons),
    ports,
    downMs: random.between(0, MAX_DOWN_MS),
    forMs: Math.round(forMs),
  };
}

function drawSettingsAtStart(random: SeededRandom, daemons: Daemons, spanMs: number): Fault {
  return drawSpoiledSettings(random, drawDaemons(random, daemons), true, spanMs);
}

function drawReload(random: SeededRandom, daemons: Daemons, spanMs: number): Fault {
  return drawSpoiledSettings(random, daemons, false, spanMs);
}

function drawSpoiledSettings(
  random: SeededRandom,
  daemons: readonly number[],
  isAtStart: boolean,
  spanMs: number,
): Fault {
  return {
    kind: 'settings-spoiled',
    daemons,
    flaw: random.pick(FLAWS),
    keptShare: random.between(0, MAX_KEPT_SHARE),
    isAtStart,
    forMs: drawHindranceMs(random, spanMs),
  };
}

function drawReloads(random: SeededRandom, daemons: Daemons): Fault {
  return { kind: 'signals', daemons, signals: drawSeries(random, ['SIGHUP']) };
}

function drawRepeatedStop(random: SeededRandom, daemons: Daemons): Fault {
  const count = random.whole(1, MAX_STOP_SIGNALS);
  const later = Array.from({ length: count }, () => random.between(0, MAX_STOP_SPAN_MS));
  const signals = later
    .sort((left, right) => left - right)
    .map(
      (afterMs): TimedSignal => ({
        afterMs: Math.round(afterMs),
        signal: random.pick(['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP']),
      }),
    );
  const first: TimedSignal = { signal: 'SIGTERM', afterMs: 0 };
  return { kind: 'signals', daemons: [random.pick(daemons)], signals: [first, ...signals] };
}

function drawHindranceMs(random: SeededRandom, spanMs: number): number {
  return Math.round(Math.min(spanMs, random.between(MIN_HINDRANCE_MS, MAX_HINDRANCE_MS)));
}

function drawDaemons(random: SeededRandom, daemons: Daemons): readonly number[] {
  const share = random.pick([0.2, 0.5, 1]);
  return random.subset(daemons.length, share).flatMap((index) => daemons[index] ?? []);
}
