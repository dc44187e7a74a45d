/**
 * The plan of late datagrams: what other daemons send to one daemon, to a zone, to most or to all arrives ever later, in order
 * and without a gap, while servers drain or go and the list never rests. The store and each daemon's path to it are well.
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

/** Beyond the drain time of the soak. */
const MIN_DELAY_MS = 2_800;
const MAX_DELAY_MS = 4_200;
/** The delay grows this slowly, so that a daemon never waits long for the next digest: a gap would be noticed. */
const GROWTH_MS_PER_MS = 0.4;
/** How long the delay stays once it has grown, and how long datagrams are punctual after it. */
const GROWN_FOR_MS = 4_500;
const PUNCTUAL_FOR_MS = 1_000;
/** Share of the daemons that get datagrams late; the daemons of a zone are every third one. */
const SHARES = [0.1, 0.5, 1] as const;
const ZONES = 3;
/** Departures follow one another once the delay has grown. */
const DEPARTURES_AFTER_MS = [200, 2_000] as const;
const SERVER_SHARES = [0.2, 0.3] as const;
const MAX_SERVER_GAP_MS = 400;
/** A server that drains says so in its answers as well, so that daemons need no datagram to know it. */
const UNANNOUNCED_SHARES = [0.5, 1, 1] as const;
const SOFTWARE_VERSION = 'v1';
/** Servers that depart serve on for some seconds and then start again; all are back before the calm end. */
const LAST_DEPARTURE_MS = 6_000;
const CHURN_MS = 150;
const LONG_STREAM_SHARE = 0.3;

export function planDatagrams(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS - LAST_DEPARTURE_MS;
  const churn: Fault = { kind: 'list-churn', everyMs: CHURN_MS, forMs: endMs - FIRST_FAULT_MS };
  const faults: TimedFault[] = [{ atMs: FIRST_FAULT_MS, fault: churn }];
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    const delayMs = Math.round(random.between(MIN_DELAY_MS, MAX_DELAY_MS));
    const growsForMs = Math.round(delayMs / GROWTH_MS_PER_MS);
    const forMs = growsForMs + GROWN_FOR_MS;
    const daemons = drawReceivers(random, size.daemons);
    faults.push({ atMs, fault: { kind: 'late-datagrams', daemons, delayMs, growsForMs, forMs } });
    for (const afterMs of DEPARTURES_AFTER_MS) {
      const departureMs = atMs + growsForMs + afterMs;
      if (departureMs < endMs)
        faults.push({ atMs: departureMs, fault: drawDeparture(random, size) });
    }
    atMs += forMs + PUNCTUAL_FOR_MS;
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  return { seed, size, servers, faults, crashing: [], longStreamShare: LONG_STREAM_SHARE };
}

function drawReceivers(random: SeededRandom, daemons: number): readonly number[] {
  const isZone = random.between(0, 1) < 0.5;
  if (!isZone) return random.subset(daemons, random.pick(SHARES));
  const zone = Math.floor(random.between(0, ZONES));
  return Array.from({ length: daemons }, (_, index) => index).filter(
    (index) => index % ZONES === zone,
  );
}

function drawDeparture(random: SeededRandom, { engines, webServers }: SoakSize): Fault {
  return {
    kind: 'departures',
    servers: random.subset(engines + webServers, random.pick(SERVER_SHARES)),
    unannouncedShare: random.pick(UNANNOUNCED_SHARES),
    softwareVersion: SOFTWARE_VERSION,
    gapMs: random.between(0, MAX_SERVER_GAP_MS),
    lateWriteAfterMs: undefined,
  };
}
