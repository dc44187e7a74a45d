/**
 * The plan of a soak run, derived from its seed and size: the traits of the servers, and the faults with their times.
 * Faults come in series and overlap. Pure, so that a failed seed can be run again with the same faults.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { CrowdFault } from './crowd-fault.js';
import type { EngineFault } from './engine-fault.js';
import type { RequestClass } from './request-class.js';
import type { StartFault } from './start-fault.js';

/** How the store treats the daemons that it refuses. */
export type StoreRefusal = 'unavailable' | 'too-many' | 'reset' | 'silent';

/** How a server mishandles a share of the requests. */
export type ServerFault =
  /** Refuses them and states that they have not run. */
  | 'turn-away'
  /** Refuses them and requests a back-off period. */
  | 'ask-for-rest'
  /** Runs them and responds with 500. */
  | 'fail'
  /** Runs them and breaks off the response. */
  | 'break-off'
  /** Runs them and closes the connection without a response. */
  | 'lose-answer'
  /** Sends bytes that are no answer: a status that none has, a KV handle or an event id that no header can carry. */
  | 'garble'
  /** Sends a second response on the same connection. */
  | 'answer-twice'
  /** Runs them and sends a response, of success or of failure, in chunks of one byte until its connection closes. */
  | 'answer-without-end'
  /** Does not respond to stage orders and executes them later. */
  | 'delay-orders';

/** A fault of the link between daemons and a server. */
export type LinkFault =
  | 'delay'
  /** Open connections are reset. */
  | 'reset'
  /** What the server sends is withheld. */
  | 'one-way'
  /** Open connections go silent permanently; connections opened after the fault work. */
  | 'silent'
  /** What either side sends is held until the fault ends, as by a network that loses packets until TCP's retransmissions pass. */
  | 'hold';

/** What a cut does to open connections; new ones are refused. */
export type DaemonCut =
  /** They live on. */
  | 'refuse'
  /** They are reset. */
  | 'reset'
  /** They go silent for good. */
  | 'silent';

/** How the duty API mishandles calls. */
export type DutyFault = 'unavailable' | 'too-many' | 'lose-answers';

/** A change of the configuration by the operator. */
export type Change =
  | 'move-route'
  | 'revoke-key'
  | 'idle'
  /** Concerns routes that callers do not use. */
  | 'add-route'
  | 'drop-route'
  | 'time-route';

/** One fault or planned change. */
export type Fault =
  | StartFault
  | EngineFault
  | CrowdFault
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
  /** Open feed calls receive no changes for a second; then the history is lost and table reads are stale for a time. */
  | {
      readonly kind: 'store-stale';
      readonly behindMs: number;
      /** Whether a stale read reports the newest revision instead of the revision of the rows that it shows. */
      readonly isUnderNewest: boolean;
      readonly forMs: number;
    }
  /**
   * The store is away and is restored from an older copy; then the operator and the servers write again, one by one.
   */
  | {
      readonly kind: 'store-copy';
      readonly how: StoreRefusal;
      readonly forMs: number;
      readonly behindMs: number;
      /** Number of revisions that other tables used before the outage and that the copy lacks as well. */
      readonly lostRevisions: number;
      /** Whether open feed calls stay open. */
      readonly keepsHeldCalls: boolean;
      /** Time until all have written again. */
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
  /** Most new connections go to one daemon, and callers open one for each request. */
  | {
      readonly kind: 'skew';
      readonly daemon: number;
      readonly share: number;
      readonly forMs: number;
    }
  | { readonly kind: 'crash'; readonly servers: readonly number[]; readonly downMs: number }
  /** The servers crash and restart under the same id after `downMs`. */
  | { readonly kind: 'restart'; readonly servers: readonly number[]; readonly downMs: number }
  /** The table of servers contains rows that no server wrote: malformed ones, and one of an unknown service. */
  | { readonly kind: 'stray-rows'; readonly forMs: number }
  | {
      readonly kind: 'rests';
      readonly servers: readonly number[];
      readonly share: number;
      /** The back-off period that each refusal requests. */
      readonly restMs: number;
      readonly forMs: number;
    }
  /** The servers report a limit in requests per second in each response, and a second limit from half-time on. */
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
      /** Time during which only its responses report that it leaves; then its entry does as well. */
      readonly listedAfterMs: number;
    }
  /** The servers depart one after another and return; the rows of a share of them go without a drain. */
  | {
      readonly kind: 'departures';
      readonly servers: readonly number[];
      readonly unannouncedShare: number;
      /** The software version with which they return. */
      readonly softwareVersion: string;
      readonly gapMs: number;
      /** A write of each that was made before its departure is carried out so long after; undefined for none. */
      readonly lateWriteAfterMs: number | undefined;
    }
  /** Entries are written anew one after another, so that the list never rests. */
  | { readonly kind: 'list-churn'; readonly everyMs: number; readonly forMs: number }
  /** The servers leave one after another, and return with another software version. */
  | {
      readonly kind: 'release';
      readonly servers: readonly number[];
      readonly softwareVersion: string;
      readonly gapMs: number;
    }
  | {
      readonly kind: 'link';
      readonly how: LinkFault;
      readonly servers: readonly number[];
      readonly forMs: number;
    }
  /** The daemons are cut off from all servers; callers, the store and other daemons reach them. */
  | {
      readonly kind: 'cut';
      readonly how: DaemonCut;
      readonly daemons: readonly number[];
      readonly forMs: number;
    }
  /** What other daemons send to these arrives ever later, until it is delayed by `delayMs`, in order and without a gap. */
  | {
      readonly kind: 'late-datagrams';
      readonly daemons: readonly number[];
      readonly delayMs: number;
      readonly growsForMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'change'; readonly change: Change }
  | { readonly kind: 'duties'; readonly how: DutyFault; readonly forMs: number }
  | { readonly kind: 'burst'; readonly factor: number; readonly forMs: number }
  | { readonly kind: 'callers-leave'; readonly share: number; readonly forMs: number };

/** A fault and its time since the start of the traffic. */
export interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** The size of a run. */
export interface SoakSize {
  readonly seconds: number;
  readonly daemons: number;
  readonly engines: number;
  readonly webServers: number;
  /** Request rate of all callers together, without bursts. */
  readonly requestsPerSecond: number;
}

/** A request that crashes each server that runs it; it is sent again and again, to any daemon. */
export interface CrashingWork {
  readonly fromMs: number;
  readonly gapMs: number;
  /** Draws the request class by the shares of the classes; from 0 to 1. */
  readonly classDraw: number;
}

/** A part of prompts that crashes each server that runs a request with it; no two of its requests are alike. */
export interface CrashingPart {
  readonly fromMs: number;
  readonly gapMs: number;
  /** Where it stands among the shared parts of the prompt. */
  readonly position: 'first' | 'second' | 'third';
}

/** Traits of the servers of a run. */
export interface ServerTraits {
  /** Maximum number of concurrent requests of a web server; it refuses others. */
  readonly webSlots: number;
  /** For each server, the ratio of its processing time to the typical time. */
  readonly paces: readonly number[];
  /** Time between two tokens of engines; undefined for the usual one. */
  readonly tokenMs?: number;
}

/** How callers that keep a connection each behave. */
export interface SessionTraits {
  readonly count: number;
  /** The kinds of requests that they send. */
  readonly classes: readonly RequestClass[];
  /** Share of them that read their answers slowly. */
  readonly slowReaderShare: number;
}

/** The limits of the machine that each daemon has to itself. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** The plan of one run. */
export interface SoakPlan {
  readonly seed: number;
  readonly size: SoakSize;
  readonly servers: ServerTraits;
  readonly faults: readonly TimedFault[];
  readonly crashing: readonly CrashingWork[];
  readonly crashingParts?: readonly CrashingPart[];
  /** Whether no two requests have the same body. */
  readonly hasDistinctBodies?: true;
  /** The share of streams that last over a second; undefined for the usual one. */
  readonly longStreamShare?: number;
  /** Callers that keep a connection each, instead of those that send at a fixed rate. */
  readonly sessions?: SessionTraits;
  /** Whether each cut around a stop is judged on its own. */
  readonly hasStrictStops?: true;
  /** Named in the daemons' settings, and kept to by their processes; undefined for those of this machine. */
  readonly machine?: MachineLimits;
}

/** Slots of engines, and of web servers in plans without a shortage of slots. */
export const DEFAULT_SLOTS = 24;
export const FIRST_FAULT_MS = 2_000;
/** No fault is planned in the last part of a run, so that the fleet must have recovered at its end. */
export const CALM_END_MS = 8_000;
const MAX_GAP_MS = 2_400;
/**
 * After this long with faults, faults pause: promises that hold only without disturbances need calm times to be
 * judged.
 */
const MAX_FAULT_STRETCH_MS = 9_000;
const CALM_STRETCH_MS = 10_000;
/**
 * Time from the last fault until daemons are back in contact; then planned changes are made, so that they also occur
 * in calm times.
 */
const PLANNED_WORK_DELAY_MS = 3_500;
const CRASHING_SALT = 0x5eed;
const RESTARTS_SALT = 0x11fe;
const SERVERS_SALT = 0x5107;
const SIGNALS_SALT = 0x4057;
const LIMITS_SALT = 0x1137;
const COPIES_SALT = 0xc0b1;
const ROUTES_SALT = 0x2077;
const ROUTE_CHANGES = ['add-route', 'add-route', 'drop-route', 'time-route'] as const;
/** Maximum number of configuration changes around the end of a store fault. */
const MAX_CHANGES_AT_END = 3;
/** Time from when open feed calls receive no changes until the history is lost. */
export const STALE_GAP_MS = 1_000;
const EARLIEST_CHANGE_MS = -400;
const LATEST_CHANGE_MS = 900;
const MIN_ROUTE_GAP_MS = 2_000;
const MAX_ROUTE_GAP_MS = 6_000;
const MIN_COPY_GAP_MS = 6_000;
const MAX_COPY_GAP_MS = 16_000;
/**
 * Time between the last change before the outage, which the copy lacks, and the outage, so that daemons have applied
 * it.
 */
export const COPY_LEAD_MS = 700;
/** Probability that a restore from a copy is followed by another one. */
const COPY_AGAIN_CHANCE = 0.25;
const MIN_LIMIT_GAP_MS = 5_000;
const MAX_LIMIT_GAP_MS = 12_000;
const LIMITS_PER_SECOND = [0, 0.2, 0.5, 1, 1.2, 2, 3.8, 5, 12, 1_000] as const;
/** The duration of a limit; limits are judged only some seconds after they begin. */
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
/** Probability that the next fault follows after `SERIES_GAP_MS`, so that they overlap. */
const SERIES_CHANCE = 0.35;
const SERIES_GAP_MS = 300;

/** Random draws from a seed. */
export class SeededRandom {
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

  /** A random subset of the indexes below `count`, of at least one. */
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
const DAEMON_CUTS = ['refuse', 'reset', 'silent'] as const;
const CUT_SETS = ['one', 'most-of-a-zone', 'zone', 'most', 'all'] as const;
const ZONE_COUNT = 3;
const MOST_SHARE = 0.67;
const MIN_CUT_MS = 5_000;
const MAX_CUT_MS = 10_000;
const MIN_GAP_AFTER_CUT_MS = 500;
const MAX_GAP_AFTER_CUT_MS = 5_000;
const CRASH_IN_CUT_CHANCE = 0.4;
const STOP_IN_CUT_CHANCE = 0.2;
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

/** The plan with all kinds of faults. */
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

/** Server restarts, from a generator of their own: a change here leaves the other faults of a seed unchanged. */
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

/**
 * Servers that report in their responses that they leave or request a back-off period; from a generator of their own.
 */
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

/** Servers that report a limit in requests per second; from a generator of their own. */
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

/** Restores of the store from older copies, with configuration changes around them; from a generator of their own. */
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

/** Route changes, at random times and around the end of each store fault; from a generator of their own. */
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

/** Random times around the end of each store fault. */
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

/** A change within each span in which open feed calls receive no changes, so that only a table read can show it. */
function changesInGaps(faults: readonly TimedFault[]): readonly TimedFault[] {
  return faults.flatMap(({ atMs, fault }) => {
    if (fault.kind !== 'store-stale') return [];
    const change: Fault = { kind: 'change', change: 'add-route' };
    return [{ atMs: atMs + STALE_GAP_MS / 2, fault: change }];
  });
}

/** Traits of the servers, from a generator of their own. */
function drawServers(seed: number, { engines, webServers }: SoakSize): ServerTraits {
  const random = new SeededRandom(seed ^ SERVERS_SALT);
  const paces = Array.from({ length: engines + webServers }, () => random.pick(PACES));
  return { webSlots: random.pick(WEB_SLOTS), paces };
}

/** Crashing requests, from a generator of their own: a change here leaves the faults of a seed unchanged. */
function drawCrashing(seed: number, endMs: number): readonly CrashingWork[] {
  const random = new SeededRandom(seed ^ CRASHING_SALT);
  return Array.from({ length: random.whole(1, MAX_CRASHING) }, () => ({
    fromMs: Math.round(random.between(FIRST_FAULT_MS, endMs)),
    gapMs: Math.round(random.between(MIN_CRASHING_GAP_MS, MAX_CRASHING_GAP_MS)),
    classDraw: random.between(0, 1),
  }));
}

/** The first draws of small seeds are similar and are therefore skipped. */
const SKIPPED_DRAWS = 16;

/** Random draws from a seed that differ also between small seeds. */
export function settledRandom(seed: number): SeededRandom {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.between(0, 1);
  return random;
}

const MIN_STALE_MS = 2_000;
const MAX_STALE_MS = 8_000;
const MIN_OUTAGE_MS = 15_000;
const MAX_OUTAGE_MS = 60_000;
const MIN_CALM_MS = 7_000;
const MAX_CALM_MS = 10_000;

/** Stale reads show no state from before the traffic, when the store was still empty. */
function drawStale(random: SeededRandom, atMs: number): Extract<Fault, { kind: 'store-stale' }> {
  const behindMs = Math.min(atMs, random.between(MIN_STALE_MS, MAX_STALE_MS));
  const forMs = behindMs + random.between(0, MIN_STALE_MS);
  return { kind: 'store-stale', behindMs, isUnderNewest: random.chance(0.5), forMs };
}

/**
 * The plan of long store outages: the store is unreachable once or more, for all daemons or a large share of them, and
 * returns for all at the same moment. The configuration changes around the end of each outage.
 */
export function planOutages(seed: number, size: SoakSize): SoakPlan {
  const random = settledRandom(seed);
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
  // A change that daemons miss during stale reads is detected only if no other change follows soon.
  const outages = faults.filter(({ fault }) => fault.kind !== 'store-stale');
  const changes = [
    ...drawChanges(random, timesAroundEnds(random, outages), size.seconds * 1_000),
    ...changesInGaps(faults),
  ];
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...faults, ...changes], crashing: [] };
}

/**
 * The plan of a store that is restored from older copies, with calm times between the restores. The configuration changes
 * and servers leave before and after each restore, and some daemons restart at the same time.
 */
export function planCopies(seed: number, size: SoakSize): SoakPlan {
  const random = settledRandom(seed);
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
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...faults, ...copies, ...changes], crashing: [] };
}

/**
 * The plan of a rolling upgrade: all daemons are restarted one after another, while the configuration changes, servers
 * leave and the store loses its history. After the last restart the store is restored from an older copy.
 */
export function planUpgrade(seed: number, size: SoakSize): SoakPlan {
  const random = settledRandom(seed);
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
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults: [...within, ...changes], crashing: [] };
}

/**
 * The plan of a thundering herd: requests need more repeats than the retry budget allows, all daemons are killed together
 * twice within one window of the budget, and the store is slow when they return.
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
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [] };
}

/**
 * The plan of daemons that are cut off from all servers: one, most of a zone, a zone, most and all, with calm between, while
 * servers crash and daemons are stopped beside some of the cuts.
 */
export function planCuts(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  let atMs = 2 * FIRST_FAULT_MS;
  while (atMs < endMs) {
    const forMs = Math.min(random.between(MIN_CUT_MS, MAX_CUT_MS), endMs - atMs);
    const daemons = drawCutDaemons(random, size.daemons);
    const cut = { kind: 'cut', how: random.pick(DAEMON_CUTS), daemons, forMs } as const;
    faults.push({ atMs: Math.round(atMs), fault: cut });
    if (random.chance(CRASH_IN_CUT_CHANCE)) {
      const crash = {
        kind: 'crash',
        servers: [random.whole(0, size.engines - 1)],
        downMs: 1_500,
      } as const;
      faults.push({ atMs: Math.round(atMs + random.between(0, forMs)), fault: crash });
    }
    if (random.chance(STOP_IN_CUT_CHANCE)) {
      const stop = {
        kind: 'stop',
        daemons: [random.whole(0, size.daemons - 1)],
        gapMs: 0,
      } as const;
      faults.push({ atMs: Math.round(atMs + random.between(0, forMs)), fault: stop });
    }
    atMs += forMs + random.between(MIN_GAP_AFTER_CUT_MS, MAX_GAP_AFTER_CUT_MS);
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [] };
}

/** The daemons of a cut; those of a zone are every third one. */
function drawCutDaemons(random: SeededRandom, daemons: number): readonly number[] {
  const zone = random.whole(0, ZONE_COUNT - 1);
  const inZone = Array.from({ length: daemons }, (_, index) => index).filter(
    (index) => index % ZONE_COUNT === zone,
  );
  switch (random.pick(CUT_SETS)) {
    case 'one':
      return [random.whole(0, daemons - 1)];
    case 'most-of-a-zone':
      return inZone.slice(1);
    case 'zone':
      return inZone;
    case 'most':
      return random.subset(daemons, MOST_SHARE);
    case 'all':
      return random.subset(daemons, 1);
  }
}
