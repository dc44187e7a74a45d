/**
 * The plan of a soak run, from a seed alone: how the fleet looks, and which faults come when. Faults come
 * in series and overlap. Pure, so that a seed that failed is played again with the same faults.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** How a store treats the daemons that it does not serve. */
export type StoreRefusal = 'unavailable' | 'too-many' | 'reset' | 'silent';

/** What a server does with a part of the requests. */
export type ServerFault =
  /** Turns them away, and says that they have not run. */
  | 'turn-away'
  /** Turns them away as well, and wants nothing more from their daemon for a time. */
  | 'ask-for-rest'
  /** Answers 500 after a run. */
  | 'fail'
  /** Runs them and breaks off before the end of the answer. */
  | 'break-off'
  /** Runs them and closes the connection without an answer. */
  | 'lose-answer'
  /** Sends a second answer on the same connection. */
  | 'answer-twice'
  /** Leaves orders unanswered and carries them out later. */
  | 'delay-orders';

/** What a link between daemons and a server does. */
export type LinkFault =
  | 'delay'
  /** Open connections are reset. */
  | 'reset'
  /** What servers send is held back. */
  | 'one-way'
  /** Open connections go silent for good; new ones work. */
  | 'silent';

/** What the platform does with calls that are one daemon's duty at a time. */
export type DutyFault = 'unavailable' | 'too-many' | 'lose-answers';

/** What the operator changes. */
export type Change =
  | 'move-route'
  | 'revoke-key'
  | 'idle'
  /** Routes beside those that callers use. */
  | 'add-route'
  | 'drop-route'
  | 'time-route';

/** One fault or planned change. */
export type Fault =
  | { readonly kind: 'kill'; readonly daemons: readonly number[]; readonly downMs: number }
  | { readonly kind: 'stop'; readonly daemons: readonly number[]; readonly gapMs: number }
  | { readonly kind: 'freeze'; readonly daemons: readonly number[]; readonly forMs: number }
  | { readonly kind: 'reload'; readonly daemons: readonly number[] }
  | { readonly kind: 'store-slow'; readonly delayMs: number; readonly forMs: number }
  | { readonly kind: 'store-down'; readonly how: StoreRefusal; readonly forMs: number }
  | {
      readonly kind: 'store-refuses';
      readonly daemons: readonly number[];
      readonly how: StoreRefusal;
      readonly forMs: number;
    }
  | { readonly kind: 'store-loses-answers'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'store-writes-late'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'store-forgets' }
  /** Held calls hear nothing of changes for a second, then the history is lost, and whole reads are old for a while. */
  | {
      readonly kind: 'store-stale';
      readonly behindMs: number;
      /** Whether stale reads name the newest revision, or that of what they show. */
      readonly isUnderNewest: boolean;
      readonly forMs: number;
    }
  /** Away, and back from an older copy; the operator and the servers write again after that, one by one. */
  | {
      readonly kind: 'store-copy';
      readonly how: StoreRefusal;
      readonly forMs: number;
      readonly behindMs: number;
      /** Revisions that other tables took before, which the copy lacks as well. */
      readonly lostRevisions: number;
      /** Whether held calls go on as if nothing had happened. */
      readonly keepsHeldCalls: boolean;
      /** Until all have written again. */
      readonly rewriteMs: number;
    }
  | { readonly kind: 'entries-lapse'; readonly forMs: number }
  | {
      readonly kind: 'servers';
      readonly how: ServerFault;
      readonly servers: readonly number[];
      readonly share: number;
      readonly forMs: number;
    }
  | { readonly kind: 'crash'; readonly servers: readonly number[]; readonly downMs: number }
  /** They start again under the id that they had, at once or nearly so. */
  | { readonly kind: 'restart'; readonly servers: readonly number[]; readonly downMs: number }
  /** Rows that no server wrote stand in the list, unreadable or of unknown kinds. */
  | { readonly kind: 'stray-rows'; readonly forMs: number }
  | {
      readonly kind: 'rests';
      readonly servers: readonly number[];
      readonly share: number;
      /** What each daemon that is turned away is asked for. */
      readonly restMs: number;
      readonly forMs: number;
    }
  /** They name a limit of requests a second in each answer, and another one halfway. */
  | {
      readonly kind: 'limits';
      readonly servers: readonly number[];
      readonly perSecond: number;
      readonly laterPerSecond: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'drain';
      readonly server: number;
      /** How long only its answers say so. */
      readonly listedAfterMs: number;
    }
  | {
      readonly kind: 'link';
      readonly how: LinkFault;
      readonly servers: readonly number[];
      readonly forMs: number;
    }
  | { readonly kind: 'change'; readonly change: Change }
  | { readonly kind: 'duties'; readonly how: DutyFault; readonly forMs: number }
  | { readonly kind: 'burst'; readonly factor: number; readonly forMs: number }
  | { readonly kind: 'callers-leave'; readonly share: number; readonly forMs: number };

/** A fault and its time from the begin of the traffic. */
export interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** How large a run is. */
export interface SoakSize {
  readonly seconds: number;
  readonly daemons: number;
  readonly engines: number;
  readonly webServers: number;
  /** Requests a second of all callers together, without bursts. */
  readonly requestsPerSecond: number;
}

/** A piece of work that ends each server that runs it; its callers send it again and again, at any daemon. */
export interface CrashingWork {
  readonly fromMs: number;
  readonly gapMs: number;
  /** Of the classes of requests, by its place among them, 0 to 1. */
  readonly classDraw: number;
}

/** How the servers of a run are made. */
export interface ServerTraits {
  /** Requests that a web server runs at once; it turns others away. */
  readonly webSlots: number;
  /** How long work takes at a server against the usual, by its number. */
  readonly paces: readonly number[];
}

/** A whole run. */
export interface SoakPlan {
  readonly seed: number;
  readonly size: SoakSize;
  readonly servers: ServerTraits;
  readonly faults: readonly TimedFault[];
  readonly crashing: readonly CrashingWork[];
}

/** Slots of engines, and of web servers that are not short of them. */
export const PLAIN_SLOTS = 24;
const FIRST_FAULT_MS = 2_000;
/** The last stretch is calm, so that the fleet has to be well again at its end. */
const CALM_END_MS = 8_000;
const MAX_GAP_MS = 2_400;
/** After so long without a pause faults pause: promises that hold in calm times have to be seen in some. */
const MAX_FAULT_STRETCH_MS = 9_000;
const CALM_STRETCH_MS = 10_000;
/** By then daemons are in touch again; planned work comes, so that it is seen in calm times too. */
const PLANNED_WORK_DELAY_MS = 3_500;
const CRASHING_SALT = 0x5eed;
const RESTARTS_SALT = 0x11fe;
const SERVERS_SALT = 0x5107;
const SIGNALS_SALT = 0x4057;
const LIMITS_SALT = 0x1137;
const COPIES_SALT = 0xc0b1;
const ROUTES_SALT = 0x2077;
const ROUTE_CHANGES = ['add-route', 'add-route', 'drop-route', 'time-route'] as const;
/** Changes come around the end of what strikes the store, in series. */
const MAX_CHANGES_AT_END = 3;
/** From when held calls hear nothing until the history is lost. */
export const STALE_GAP_MS = 1_000;
const EARLIEST_CHANGE_MS = -400;
const LATEST_CHANGE_MS = 900;
const MIN_ROUTE_GAP_MS = 2_000;
const MAX_ROUTE_GAP_MS = 6_000;
const MIN_COPY_GAP_MS = 6_000;
const MAX_COPY_GAP_MS = 16_000;
/** From the last change before the store is away, which the copy lacks, until daemons have it. */
export const COPY_LEAD_MS = 700;
/** The chance that a return from a copy is followed by another one. */
const COPY_AGAIN_CHANCE = 0.25;
const MIN_LIMIT_GAP_MS = 5_000;
const MAX_LIMIT_GAP_MS = 12_000;
const LIMITS_PER_SECOND = [0, 0.2, 0.5, 1, 1.2, 2, 3.8, 5, 12, 1_000] as const;
/** From the begin of a limit until it is judged, daemons need some seconds. */
const MIN_LIMITED_MS = 4_000;
const MAX_LIMITED_MS = 20_000;
const MIN_SIGNAL_GAP_MS = 3_000;
const MAX_SIGNAL_GAP_MS = 8_000;
const MIN_RESTART_GAP_MS = 4_000;
const MAX_RESTART_GAP_MS = 9_000;
const PACES = [0.6, 1, 1, 1.5, 2.5] as const;
const WEB_SLOTS = [2, 3, 6, 24] as const;
const MAX_CRASHING = 2;
const MIN_CRASHING_GAP_MS = 80;
const MAX_CRASHING_GAP_MS = 600;
/** The chance that a fault is followed at once by another one on top. */
const SERIES_CHANCE = 0.35;
const SERIES_GAP_MS = 300;

/** Draws from a seed. */
class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  between(low: number, high: number): number {
    return low + uniformFloat64(this.#generator) * (high - low);
  }

  whole(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  chance(probability: number): boolean {
    return uniformFloat64(this.#generator) < probability;
  }

  pick<Item>(items: readonly [Item, ...Item[]]): Item {
    return items[this.whole(0, items.length - 1)] ?? items[0];
  }

  /** At least one index below a number. */
  subset(count: number, share: number): readonly number[] {
    const wanted = Math.max(1, Math.round(count * share));
    const indexes = Array.from({ length: count }, (_, index) => index);
    while (indexes.length > wanted) indexes.splice(this.whole(0, indexes.length - 1), 1);
    return indexes;
  }
}

type Draw = (random: SeededRandom, size: SoakSize) => Fault;

const STORE_REFUSALS = ['unavailable', 'too-many', 'reset', 'silent'] as const;
const SERVER_FAULTS = [
  'turn-away',
  'fail',
  'break-off',
  'lose-answer',
  'answer-twice',
  'delay-orders',
] as const;
const LINK_FAULTS = ['delay', 'reset', 'one-way', 'silent'] as const;
const DUTY_FAULTS = ['unavailable', 'too-many', 'lose-answers'] as const;
const CHANGES = ['move-route', 'revoke-key', 'idle'] as const;

const DRAWS: readonly [Draw, ...Draw[]] = [
  (random, { daemons }) => ({
    kind: 'kill',
    daemons: random.subset(daemons, random.pick([0.1, 0.3, 0.6, 1])),
    downMs: random.between(300, 1_500),
  }),
  (random, { daemons }) => ({
    kind: 'stop',
    daemons: random.subset(daemons, random.pick([0.1, 0.4])),
    gapMs: random.between(0, 800),
  }),
  (random, { daemons }) => ({
    kind: 'freeze',
    daemons: random.subset(daemons, random.pick([0.1, 0.3])),
    forMs: random.between(200, 4_000),
  }),
  (random, { daemons }) => ({ kind: 'reload', daemons: random.subset(daemons, 0.5) }),
  (random) => ({
    kind: 'store-slow',
    delayMs: random.between(20, 800),
    forMs: random.between(1_000, 6_000),
  }),
  (random) => ({
    kind: 'store-down',
    how: random.pick(STORE_REFUSALS),
    forMs: random.between(500, 6_000),
  }),
  (random, { daemons }) => ({
    kind: 'store-refuses',
    daemons: random.subset(daemons, 0.4),
    how: random.pick(STORE_REFUSALS),
    forMs: random.between(500, 6_000),
  }),
  (random) => ({
    kind: 'store-loses-answers',
    share: random.between(0.1, 0.6),
    forMs: random.between(500, 5_000),
  }),
  (random) => ({
    kind: 'store-writes-late',
    share: random.between(0.1, 0.6),
    forMs: random.between(500, 5_000),
  }),
  () => ({ kind: 'store-forgets' }),
  (random) => ({ kind: 'entries-lapse', forMs: random.between(300, 1_800) }),
  (random, { engines, webServers }) => ({
    kind: 'servers',
    how: random.pick(SERVER_FAULTS),
    servers: random.subset(engines + webServers, random.between(0.2, 0.9)),
    share: random.between(0.05, 0.9),
    forMs: random.between(1_000, 8_000),
  }),
  (random, { engines, webServers }) => ({
    kind: 'crash',
    servers: random.subset(engines + webServers, random.between(0.1, 0.4)),
    downMs: random.between(500, 3_000),
  }),
  drawDrain,
  (random, { engines, webServers }) => ({
    kind: 'link',
    how: random.pick(LINK_FAULTS),
    servers: random.subset(engines + webServers, random.between(0.1, 0.5)),
    forMs: random.between(300, 4_000),
  }),
  (random) => ({
    kind: 'duties',
    how: random.pick(DUTY_FAULTS),
    forMs: random.between(1_000, 8_000),
  }),
  drawChange,
  (random) => ({
    kind: 'burst',
    factor: random.between(1.5, 2.5),
    forMs: random.between(1_000, 5_000),
  }),
  (random) => ({
    kind: 'callers-leave',
    share: random.between(0.1, 0.6),
    forMs: random.between(1_000, 5_000),
  }),
];

function drawDrain(
  random: SeededRandom,
  { engines, webServers }: SoakSize,
): Extract<Fault, { kind: 'drain' }> {
  return { kind: 'drain', server: random.whole(0, engines + webServers - 1), listedAfterMs: 0 };
}

function drawChange(random: SeededRandom): Fault {
  return { kind: 'change', change: random.pick(CHANGES) };
}

/** The plan of a seed. */
export function planSoak(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const faults: TimedFault[] = [];
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  let atMs = FIRST_FAULT_MS;
  let faultsSinceMs = atMs;
  while (atMs < endMs) {
    if (atMs - faultsSinceMs > MAX_FAULT_STRETCH_MS) {
      const plannedMs = Math.round(atMs + PLANNED_WORK_DELAY_MS);
      for (const fault of [drawDrain(random, size), drawChange(random)]) {
        if (plannedMs < endMs) faults.push({ atMs: plannedMs, fault });
      }
      atMs += CALM_STRETCH_MS;
      faultsSinceMs = atMs;
      continue;
    }
    const draw = random.pick(DRAWS);
    faults.push({ atMs: Math.round(atMs), fault: draw(random, size) });
    atMs += random.chance(SERIES_CHANCE)
      ? SERIES_GAP_MS
      : random.between(SERIES_GAP_MS, MAX_GAP_MS);
  }
  const restarts = drawRestarts(seed, size, endMs);
  return {
    seed,
    size,
    servers: drawServers(seed, size),
    faults: [
      ...faults,
      ...restarts,
      ...drawServerSignals(seed, size, endMs),
      ...drawLimits(seed, size, endMs),
      ...drawRouteChanges(seed, faults, endMs),
      ...drawCopies(seed, endMs),
    ].sort((left, right) => left.atMs - right.atMs),
    crashing: drawCrashing(seed, endMs),
  };
}

/** Drawn apart, so that the other faults of a seed stay the same. */
function drawRestarts(seed: number, size: SoakSize, endMs: number): readonly TimedFault[] {
  const random = new SeededRandom(seed ^ RESTARTS_SALT);
  const restarts: TimedFault[] = [];
  let atMs = FIRST_FAULT_MS + random.between(0, MAX_RESTART_GAP_MS);
  while (atMs < endMs) {
    restarts.push({ atMs: Math.round(atMs), fault: drawRestart(random, size) });
    atMs += random.between(MIN_RESTART_GAP_MS, MAX_RESTART_GAP_MS);
  }
  return restarts;
}

function drawRestart(random: SeededRandom, { engines, webServers }: SoakSize): Fault {
  if (random.chance(0.25)) return { kind: 'stray-rows', forMs: random.between(500, 4_000) };
  const servers = random.subset(engines + webServers, random.between(0.05, 0.3));
  return { kind: 'restart', servers, downMs: random.pick([0, 30, 300, 5_000]) };
}

/** Servers that say in their answers that they leave, or want rest; drawn apart as well. */
function drawServerSignals(seed: number, size: SoakSize, endMs: number): readonly TimedFault[] {
  const random = new SeededRandom(seed ^ SIGNALS_SALT);
  const signals: TimedFault[] = [];
  let atMs = FIRST_FAULT_MS + random.between(0, MAX_SIGNAL_GAP_MS);
  while (atMs < endMs) {
    signals.push({ atMs: Math.round(atMs), fault: drawServerSignal(random, size) });
    atMs += random.between(MIN_SIGNAL_GAP_MS, MAX_SIGNAL_GAP_MS);
  }
  return signals;
}

function drawServerSignal(random: SeededRandom, size: SoakSize): Fault {
  if (random.chance(0.4)) {
    return { ...drawDrain(random, size), listedAfterMs: random.between(1_000, 8_000) };
  }
  return {
    kind: 'rests',
    servers: random.subset(size.engines + size.webServers, random.pick([0.2, 0.5, 1])),
    share: random.pick([0.3, 1]),
    restMs: random.pick([1_000, 2_500, 3_000]),
    forMs: random.between(1_000, 5_000),
  };
}

/** Servers that name a limit of requests a second; drawn apart as well. */
function drawLimits(seed: number, size: SoakSize, endMs: number): readonly TimedFault[] {
  const random = new SeededRandom(seed ^ LIMITS_SALT);
  const limits: TimedFault[] = [];
  let atMs = FIRST_FAULT_MS + random.between(0, MAX_LIMIT_GAP_MS);
  while (atMs < endMs) {
    const perSecond = random.pick(LIMITS_PER_SECOND);
    const laterPerSecond = random.chance(0.4) ? random.pick(LIMITS_PER_SECOND) : perSecond;
    const servers = random.subset(size.engines + size.webServers, random.pick([0.1, 0.3, 0.6, 1]));
    const forMs = Math.min(endMs - atMs, random.between(MIN_LIMITED_MS, MAX_LIMITED_MS));
    const fault: Fault = { kind: 'limits', servers, perSecond, laterPerSecond, forMs };
    limits.push({ atMs: Math.round(atMs), fault });
    atMs += random.between(MIN_LIMIT_GAP_MS, MAX_LIMIT_GAP_MS);
  }
  return limits;
}

/** Returns of the store from older copies, with changes around them; drawn apart as well. */
function drawCopies(seed: number, endMs: number): readonly TimedFault[] {
  const random = new SeededRandom(seed ^ COPIES_SALT);
  const copies: TimedFault[] = [];
  let atMs = FIRST_FAULT_MS + random.between(0, MAX_COPY_GAP_MS);
  while (atMs < endMs) {
    const fault = drawCopy(random);
    copies.push({ atMs: Math.round(atMs), fault });
    const gapMs = random.chance(COPY_AGAIN_CHANCE)
      ? random.between(0, SERIES_GAP_MS)
      : random.between(MIN_COPY_GAP_MS, MAX_COPY_GAP_MS);
    atMs = endOf({ atMs, fault }) + gapMs;
  }
  return [...copies, ...drawChanges(random, timesAroundEnds(random, copies), endMs)];
}

function drawCopy(random: SeededRandom): Extract<Fault, { kind: 'store-copy' }> {
  return {
    kind: 'store-copy',
    how: random.pick(STORE_REFUSALS),
    forMs: random.pick([50, 300, 1_000, 2_500]),
    behindMs: random.between(COPY_LEAD_MS, 6_000),
    lostRevisions: random.pick([0, 3, 60, 100_000]),
    keepsHeldCalls: random.chance(0.3),
    rewriteMs: random.pick([0, 300, 1_000]),
  };
}

/** Routes that come and go now and then, and around the end of each fault of the store; drawn apart as well. */
function drawRouteChanges(
  seed: number,
  faults: readonly TimedFault[],
  endMs: number,
): readonly TimedFault[] {
  const random = new SeededRandom(seed ^ ROUTES_SALT);
  const times: number[] = [];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    times.push(atMs);
    atMs += random.between(MIN_ROUTE_GAP_MS, MAX_ROUTE_GAP_MS);
  }
  return drawChanges(random, [...times, ...timesAroundEnds(random, faults)], endMs);
}

function endOf({ atMs, fault }: TimedFault): number {
  const leadMs = fault.kind === 'store-copy' ? COPY_LEAD_MS : 0;
  return atMs + leadMs + ('forMs' in fault ? fault.forMs : 0);
}

/** In series around the end of each fault of the store. */
function timesAroundEnds(random: SeededRandom, faults: readonly TimedFault[]): readonly number[] {
  return faults.flatMap(({ atMs, fault }) => {
    if (!fault.kind.startsWith('store-')) return [];
    const endMs = endOf({ atMs, fault });
    const count = random.whole(1, MAX_CHANGES_AT_END);
    return Array.from(
      { length: count },
      () => endMs + random.between(EARLIEST_CHANGE_MS, LATEST_CHANGE_MS),
    );
  });
}

function drawChanges(
  random: SeededRandom,
  times: readonly number[],
  endMs: number,
): readonly TimedFault[] {
  const within = times.filter((atMs) => atMs < endMs);
  return within.map((atMs) => {
    const fault: Fault = { kind: 'change', change: random.pick(ROUTE_CHANGES) };
    return { atMs: Math.round(atMs), fault };
  });
}

/** The changes that no held call hears of before the history is lost. */
function changesInGaps(faults: readonly TimedFault[]): readonly TimedFault[] {
  return faults.flatMap(({ atMs, fault }) => {
    if (fault.kind !== 'store-stale') return [];
    const change: Fault = { kind: 'change', change: 'add-route' };
    return [{ atMs: atMs + STALE_GAP_MS / 2, fault: change }];
  });
}

/** Drawn apart as well. */
function drawServers(seed: number, { engines, webServers }: SoakSize): ServerTraits {
  const random = new SeededRandom(seed ^ SERVERS_SALT);
  const paces = Array.from({ length: engines + webServers }, () => random.pick(PACES));
  return { webSlots: random.pick(WEB_SLOTS), paces };
}

/** Drawn apart, so that the faults of a seed stay the same. */
function drawCrashing(seed: number, endMs: number): readonly CrashingWork[] {
  const random = new SeededRandom(seed ^ CRASHING_SALT);
  return Array.from({ length: random.whole(1, MAX_CRASHING) }, () => ({
    fromMs: Math.round(random.between(FIRST_FAULT_MS, endMs)),
    gapMs: Math.round(random.between(MIN_CRASHING_GAP_MS, MAX_CRASHING_GAP_MS)),
    classDraw: random.between(0, 1),
  }));
}

/** The first numbers of small seeds are much alike. */
const SKIPPED_DRAWS = 16;
const MIN_STALE_MS = 2_000;
const MAX_STALE_MS = 8_000;
const MIN_OUTAGE_MS = 15_000;
const MAX_OUTAGE_MS = 60_000;
const MIN_CALM_MS = 7_000;
const MAX_CALM_MS = 10_000;

/** No older than the traffic, as the store was empty once. */
function drawStale(random: SeededRandom, atMs: number): Extract<Fault, { kind: 'store-stale' }> {
  const behindMs = Math.min(atMs, random.between(MIN_STALE_MS, MAX_STALE_MS));
  const forMs = behindMs + random.between(0, MIN_STALE_MS);
  return { kind: 'store-stale', behindMs, isUnderNewest: random.chance(0.5), forMs };
}

/**
 * The plan of a store that is out of reach for long, once or more, for all daemons or for most, and back for all at one
 * moment; the configuration changes around it.
 */
export function planOutages(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.between(0, 1);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  for (let atMs = FIRST_FAULT_MS; endMs - atMs >= MIN_OUTAGE_MS; ) {
    if (random.chance(0.3)) {
      const fault = drawStale(random, atMs);
      faults.push({ atMs: Math.round(atMs), fault });
      atMs += fault.forMs + random.between(MIN_CALM_MS, MAX_CALM_MS);
      continue;
    }
    const forMs = random.between(MIN_OUTAGE_MS, Math.min(MAX_OUTAGE_MS, endMs - atMs));
    const how = random.pick(STORE_REFUSALS);
    const daemons = random.subset(size.daemons, random.pick([0.5, 0.9, 1]));
    const fault: Fault = random.chance(0.4)
      ? { kind: 'store-down', how, forMs }
      : { kind: 'store-refuses', daemons, how, forMs };
    faults.push({ atMs: Math.round(atMs), fault });
    atMs += forMs + random.between(MIN_CALM_MS, MAX_CALM_MS);
  }
  // What is missed while reads are stale shows only where no other change follows soon.
  const outages = faults.filter(({ fault }) => fault.kind !== 'store-stale');
  const changes = [
    ...drawChanges(random, timesAroundEnds(random, outages), size.seconds * 1_000),
    ...changesInGaps(faults),
  ];
  const servers = { webSlots: PLAIN_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...faults, ...changes], crashing: [] };
}

/**
 * The plan of a store that comes back from older copies, with calm stretches between them: the configuration changes and
 * servers leave before and after, and some daemons start anew as it returns.
 */
export function planCopies(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.between(0, 1);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  const copies: TimedFault[] = [];
  const add = (atMs: number, fault: Fault) => faults.push({ atMs: Math.round(atMs), fault });
  for (let atMs = 2 * FIRST_FAULT_MS; atMs < endMs; ) {
    const copy = drawCopy(random);
    copies.push({ atMs: Math.round(atMs), fault: copy });
    const returnMs = endOf({ atMs, fault: copy });
    add(atMs - random.between(0, copy.behindMs), drawChange(random));
    add(atMs - random.between(0, copy.behindMs), drawDrain(random, size));
    add(returnMs + random.between(0, MIN_COPY_GAP_MS), drawDrain(random, size));
    if (random.chance(0.4)) {
      const daemons = random.subset(size.daemons, random.pick([0.1, 0.3]));
      const downMs = random.between(100, MIN_OUTAGE_MS / 10);
      add(returnMs - random.between(0, downMs), { kind: 'kill', daemons, downMs });
    }
    const isAgain = random.chance(COPY_AGAIN_CHANCE);
    atMs = returnMs + (isAgain ? SERIES_GAP_MS : random.between(MIN_CALM_MS, MAX_CALM_MS));
  }
  const times = copies.flatMap(({ atMs }) => atMs + random.between(0, MAX_CALM_MS));
  const changes = drawChanges(random, [...timesAroundEnds(random, copies), ...times], endMs);
  const servers = { webSlots: PLAIN_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...faults, ...copies, ...changes], crashing: [] };
}

/**
 * The plan of an upgrade: all daemons are stopped and started in turn, while the configuration changes, servers leave and
 * the store loses its history; once all have started again the store comes back from an older copy.
 */
export function planUpgrade(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.between(0, 1);
  const faults: TimedFault[] = [];
  const add = (atMs: number, fault: Fault) => faults.push({ atMs: Math.round(atMs), fault });
  const gapMs = random.between(500, 2_000);
  const rollMs = 2 * FIRST_FAULT_MS;
  const rolledMs = rollMs + gapMs * size.daemons + MIN_CALM_MS;
  add(rollMs, { kind: 'stop', daemons: random.subset(size.daemons, 1), gapMs });
  for (let atMs = FIRST_FAULT_MS; atMs < rolledMs; ) {
    add(atMs, drawChange(random));
    add(atMs + random.between(0, MIN_ROUTE_GAP_MS), drawDrain(random, size));
    atMs += random.between(MIN_ROUTE_GAP_MS, MAX_ROUTE_GAP_MS);
  }
  add(random.between(rollMs, rolledMs), { kind: 'store-forgets' });
  const copy = { atMs: Math.round(rolledMs), fault: drawCopy(random) };
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const changes = drawChanges(random, timesAroundEnds(random, [...faults, copy]), endMs);
  const within = [...faults, copy].filter(({ atMs }) => atMs < endMs);
  const servers = { webSlots: PLAIN_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...within, ...changes], crashing: [] };
}

/**
 * The plan of a fleet that is asked for more repeats than its budget allows while all its processes are killed
 * together, twice within one window of the budget, and the store is slow when they return.
 */
export function planHerd(seed: number, size: SoakSize): SoakPlan {
  const everyDaemon = Array.from({ length: size.daemons }, (_, daemon) => daemon);
  const engines = Array.from({ length: size.engines }, (_, engine) => engine);
  const random = new SeededRandom(seed);
  const killMs = random.between(9_000, 12_000);
  const forMs = 22_000;
  const faults: TimedFault[] = [
    {
      atMs: 3_000,
      fault: { kind: 'servers', how: 'turn-away', servers: engines, share: 0.95, forMs },
    },
    { atMs: killMs - 500, fault: { kind: 'store-slow', delayMs: 150, forMs: 12_000 } },
    { atMs: killMs, fault: { kind: 'kill', daemons: everyDaemon, downMs: 300 } },
    { atMs: killMs + 5_000, fault: { kind: 'kill', daemons: everyDaemon, downMs: 300 } },
  ];
  const servers = { webSlots: PLAIN_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [] };
}
