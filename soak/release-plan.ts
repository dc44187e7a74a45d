/**
 * The plan of rolling releases: engines are replaced by ones of another software version, forward and back, so that two or
 * three versions serve side by side, while daemons are killed, stopped and cut off, streams break and the store is away.
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

const SOFTWARE_VERSIONS = ['v1', 'v2', 'v3'] as const;
const MIN_RELEASE_GAP_MS = 4_000;
const MAX_RELEASE_GAP_MS = 10_000;
/** Share of the engines that a release replaces. */
const RELEASE_SHARES = [0.3, 0.5, 0.7] as const;
const MIN_ENGINE_GAP_MS = 200;
const MAX_ENGINE_GAP_MS = 1_500;
/** Streams have to be open when daemons and servers end. */
const LONG_STREAM_SHARE = 0.6;
/** Faults beside each release. */
const MIN_FAULTS = 2;
const MAX_FAULTS = 5;
const MIN_DOWN_MS = 100;

type Draw = (random: SeededRandom, size: SoakSize) => Fault;

/** Kills one of the shares of the daemons. */
function killOf(shares: readonly [number, ...number[]], maxDownMs: number): Draw {
  return (random, { daemons }) => ({
    kind: 'kill',
    daemons: random.subset(daemons, random.pick(shares)),
    downMs: random.between(MIN_DOWN_MS, maxDownMs),
  });
}

const drawKill = killOf([0.1, 0.34, 0.34], 2_500);

const DRAWS: readonly [Draw, ...Draw[]] = [
  drawKill,
  killOf([0.1, 0.34, 1], 1_000),
  (random, { daemons }) => ({
    kind: 'stop',
    daemons: random.subset(daemons, 0.34),
    gapMs: random.between(100, 1_500),
  }),
  (random, { engines }) => ({
    kind: 'servers',
    how: 'break-off',
    servers: random.subset(engines, 1),
    share: random.pick([0.1, 0.4]),
    forMs: random.between(1_000, 4_000),
  }),
  (random, { engines }) => ({
    kind: 'crash',
    servers: random.subset(engines, 0.2),
    downMs: random.between(300, 3_000),
  }),
  (random, { daemons }) => ({
    kind: 'freeze',
    daemons: random.subset(daemons, 0.2),
    forMs: random.between(300, 4_000),
  }),
  (random) => ({
    kind: 'store-down',
    how: random.pick(['unavailable', 'silent', 'reset']),
    forMs: random.between(1_000, 6_000),
  }),
  (random, { daemons }) => ({
    kind: 'cut',
    how: random.pick(['refuse', 'reset', 'silent']),
    daemons: [random.whole(0, daemons - 1)],
    forMs: random.between(1_000, 4_000),
  }),
];

export function planReleases(seed: number, size: SoakSize): SoakPlan {
  const random = new SeededRandom(seed);
  const endMs = size.seconds * 1_000 - CALM_END_MS;
  const faults: TimedFault[] = [];
  const add = (atMs: number, fault: Fault) => {
    if (atMs < endMs) faults.push({ atMs: Math.round(atMs), fault });
  };
  for (let atMs = FIRST_FAULT_MS; atMs < endMs; ) {
    add(atMs, drawRelease(random, size));
    const gapMs = random.between(MIN_RELEASE_GAP_MS, MAX_RELEASE_GAP_MS);
    add(atMs + random.between(0, gapMs), drawKill(random, size));
    const beside = random.whole(MIN_FAULTS, MAX_FAULTS);
    for (let index = 0; index < beside; index += 1) {
      const draw = random.pick(DRAWS);
      add(atMs + random.between(0, gapMs), draw(random, size));
    }
    atMs += gapMs;
  }
  const servers = { webSlots: DEFAULT_SLOTS, paces: [] };
  const ordered = faults.sort((left, right) => left.atMs - right.atMs);
  return { seed, size, servers, faults: ordered, crashing: [], longStreamShare: LONG_STREAM_SHARE };
}

function drawRelease(random: SeededRandom, { engines }: SoakSize): Fault {
  return {
    kind: 'release',
    servers: random.subset(engines, random.pick(RELEASE_SHARES)),
    softwareVersion: random.pick(SOFTWARE_VERSIONS),
    gapMs: random.between(MIN_ENGINE_GAP_MS, MAX_ENGINE_GAP_MS),
  };
}
