/**
 * The plan of networks: links to servers hold what is sent and deliver it later, or open connections go silent, for less
 * and for more than `contactMs`, while the same servers drain or go. Between these, daemons stand still, as on a busy
 * machine, while other servers depart.
 */
import {
  CALM_END_MS,
  DEFAULT_SLOTS,
  type Fault,
  FIRST_FAULT_MS,
  type LinkFault,
  SeededRandom,
  type SoakPlan,
  type SoakSize,
  type TimedFault,
} from './plan.js';

/** Servers that depart serve on for some seconds and then start again; all are back before the calm end. */
const LAST_DEPARTURE_MS = 6_000;
const MIN_GAP_MS = 2_500;
const MAX_GAP_MS = 4_500;
const MIN_FAULT_MS = 600;
const MAX_FAULT_MS = 6_000;
const LINK_FAULTS = ['hold', 'hold', 'hold', 'silent'] as const satisfies readonly LinkFault[];
/** Share of the servers whose links fail and that depart. */
const SERVER_SHARES = [0.1, 0.2, 0.3] as const;
/** Departures follow the fault of the link, or the start of a stall, so that requests are held as their server departs. */
const DEPARTURE_DELAY_MS = 300;
const MAX_SERVER_GAP_MS = 300;
const UNANNOUNCED_SHARES = [0, 0.5, 1] as const;
const SOFTWARE_VERSION = 'v1';
/** Longer than the drain time of the soak, so that servers depart and are gone meanwhile. */
const MIN_STALL_MS = 2_800;
const MAX_STALL_MS = 4_500;
const STALLED_SHARES = [0.2, 0.4] as const;
const CHURN_MS = 150;
const LONG_STREAM_SHARE = 0.3;

export function planNetworks(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS - LAST_DEPARTURE_MS;
  const churn: Fault = { kind: 'list-churn', everyMs: CHURN_MS, forMs: endMs - FIRST_FAULT_MS };
  const faults: TimedFault[] = [{ atMs: FIRST_FAULT_MS, fault: churn }];
  const add = (atMs: number, fault: Fault) => {
    if (atMs < endMs) faults.push({ atMs: Math.round(atMs), fault });
  };
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const servers = random.subset(size.engines + size.webServers, random.pick(SERVER_SHARES));
    const how = random.pick(LINK_FAULTS);
    add(atMs, { kind: 'link', how, servers, forMs: random.between(MIN_FAULT_MS, MAX_FAULT_MS) });
    add(atMs + DEPARTURE_DELAY_MS, drawDeparture(random, servers));
    const gapMs = random.between(MIN_GAP_MS, MAX_GAP_MS);
    const stallAtMs = atMs + gapMs / 2;
    const others = random.subset(size.engines + size.webServers, random.pick(SERVER_SHARES));
    add(stallAtMs, drawStall(random, size));
    add(stallAtMs + DEPARTURE_DELAY_MS, drawDeparture(random, without(others, servers)));
    atMs += gapMs;
  }
  const traits = { webSlots: DEFAULT_SLOTS, paces: [] };
  const ordered = faults.sort((left, right) => left.atMs - right.atMs);
  return {
    seed,
    size,
    servers: traits,
    faults: ordered,
    crashing: [],
    longStreamShare: LONG_STREAM_SHARE,
  };
}

function without(some: readonly number[], excluded: readonly number[]): readonly number[] {
  return some.filter((one) => !excluded.includes(one));
}

function drawDeparture(random: SeededRandom, servers: readonly number[]): Fault {
  return {
    kind: 'departures',
    servers,
    unannouncedShare: random.pick(UNANNOUNCED_SHARES),
    softwareVersion: SOFTWARE_VERSION,
    gapMs: random.between(0, MAX_SERVER_GAP_MS),
    lateWriteAfterMs: undefined,
  };
}

function drawStall(random: SeededRandom, { daemons }: SoakSize): Fault {
  return {
    kind: 'freeze',
    daemons: random.subset(daemons, random.pick(STALLED_SHARES)),
    forMs: random.between(MIN_STALL_MS, MAX_STALL_MS),
  };
}
