/**
 * Tests that each engine's pace is learnt and used in decisions, and that equal engines are treated as having one pace.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  EngineLoad,
  EnginePaces,
  FleetPaces,
  PeerLoads,
  PrefixCacheIndex,
  planModelRequest,
  planStageChanges,
  preferredEngineOf,
  ReadSpeed,
  ServerHealth,
  type ServerRecord,
  type ServicePaceSums,
} from '../../src/core/gateway/index.js';
import { quantizedPace } from '../../src/core/gateway/preferred-engine.js';
import { rankByRendezvous } from '../../src/core/gateway/rendezvous.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { type PlannedRead, seededRandom, simulateEngines } from './support/engine-simulation.js';

const SPEEDS = Array.from({ length: 12 }, (_, place) => [0.7, 0.7, 1.7][place % 3] ?? 1);
const WARM_UP_READS = 400;
const SEEDS = [1, 2, 3, 4, 5];

/** Mean time between prompts: engines are busy for up to three quarters of the time, or nearly all of it. */
const GAPS_MS = { usual: 17, busy: 15 } as const;

function simulate(
  seed: number,
  hasPaces: boolean,
  load: keyof typeof GAPS_MS = 'usual',
): readonly PlannedRead[] {
  const slowdowns = { slowShare: 0.15, slowFactor: 2.5 };
  const prompts = { gapMs: GAPS_MS[load], prompts: 1_600 };
  const options = { speeds: SPEEDS, hasPaces, seed, ...slowdowns, ...prompts };
  return simulateEngines(options).slice(WARM_UP_READS);
}

function meanOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}

/** Ratio of the expected to the observed mean read time, by engine. */
function ratiosOf(reads: readonly PlannedRead[]): readonly number[] {
  return SPEEDS.map((_, engine) => {
    const own = reads.filter((read) => read.engine === engine);
    const expectedMs = meanOf(own.map((read) => read.expectedMs));
    return expectedMs / meanOf(own.map((read) => read.observedMs));
  });
}

function medianOf(numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0;
}

function medianRelativeError(reads: readonly PlannedRead[]): number {
  return medianOf(
    reads.map(({ expectedMs, observedMs }) => Math.abs(expectedMs - observedMs) / observedMs),
  );
}

/** Busy time of the busiest engine, relative to the mean of all engines. */
function busiestRatio(reads: readonly PlannedRead[]): number {
  const busyMs = SPEEDS.map((_, engine) =>
    reads.reduce((sum, read) => sum + (read.engine === engine ? read.usualMs : 0), 0),
  );
  return Math.max(...busyMs) / meanOf(busyMs);
}

test('engines of different speeds with temporary slowdowns get accurate estimates and share the work by pace', () => {
  for (const seed of SEEDS) {
    const reads = simulate(seed, true);
    assert.ok(
      medianRelativeError(reads) <= 0.2,
      `seed ${seed}: median relative error ${medianRelativeError(reads)}`,
    );
    const busiestWhenBusy = busiestRatio(simulate(seed, true, 'busy'));
    assert.ok(
      busiestWhenBusy <= 1.3,
      `seed ${seed}: busiest engine ${busiestWhenBusy} times the mean`,
    );
    const ratios = ratiosOf(reads);
    for (const ratio of ratios) assert.ok(ratio > 0.6 && ratio < 1.5, `seed ${seed}: ${ratio}`);
    const baseline = simulate(seed, false);
    assert.ok(
      medianRelativeError(baseline) > 0.25,
      'one pace for all engines gives wrong estimates',
    );
    assert.ok(medianOf(ratiosOf(baseline)) < 0.6, 'most engines are slower than the common pace');
    const observedMs = (played: readonly PlannedRead[]) =>
      meanOf(played.map((read) => read.observedMs));
    assert.ok(
      observedMs(reads) < observedMs(baseline),
      `seed ${seed}: mean read time is no shorter`,
    );
  }
});

function engine(id: string, fields: Partial<ServerRecord> = {}): ServerRecord {
  const place = { address: '127.0.0.1:1', zone: 'a', slots: 8, isSpot: false };
  return { id, service: 's', ...place, state: 'ready', stage: 'prefill', ...fields };
}

const ENGINES = Array.from({ length: 10 }, (_, place) =>
  engine(`e${place}`, { stage: place < 6 ? 'prefill' : 'decode' }),
);

test('equal engines converge to one pace, and each plan equals the plan without paces', () => {
  const random = seededRandom(8);
  const speed = new ReadSpeed(true);
  const alone = new ReadSpeed(true);
  const paces = new EnginePaces(speed);
  const prefixIndex = new PrefixCacheIndex();
  const load = new EngineLoad();
  for (let sample = 0; sample < 2_000; sample += 1) {
    const tokens = 500 + Math.floor(random() * 12_000);
    // The usual time, up to a tenth more, or with an unknown wait.
    const elapsedMs = (5 + tokens / 40) * (1 + 0.1 * random()) + (random() < 0.1 ? 300 : 0);
    const { id } = ENGINES[Math.floor(random() * 6)] ?? engine('');
    paces.learnPrefill(id, tokens, { elapsedMs, waitMs: 0 }, sample);
    alone.learnPrefill(tokens, elapsedMs);
    if (sample < 200) continue;
    assert.equal(paces.paceOf(id), 1);
    const plan = (paceOf?: (engineId: string) => number) =>
      planModelRequest({
        candidates: ENGINES,
        excludedIds: new Set(),
        description: {
          attemptId: 'x',
          deadlineMs: 5_000,
          promptParts: [{ id: `p${sample % 40}`, tokens }],
          promptTokens: tokens,
          maxOutputTokens: 9,
        },
        zone: 'a',
        nowMs: sample,
        prefixIndex,
        speed,
        ...(paceOf === undefined ? {} : { paceOf }),
        shortReadsPerMs: 0.01,
        waitFactor: () => 1,
        latencyBudgetMs: 300,
        kvTokenBytes: 1_000,
        linkMbps: 100_000,
        healthOf: () => new ServerHealth(),
        peerLoads: new PeerLoads(),
        loadOf: () => load,
      });
    assert.deepEqual(
      plan((engineId) => paces.paceOf(engineId)),
      plan(),
    );
  }
  const differenceMs = Math.abs(speed.prefillMs(9_000) - alone.prefillMs(9_000));
  assert.ok(
    differenceMs < 0.02 * alone.prefillMs(9_000),
    'the line matches the one learnt without paces',
  );
});

/** Learns the given paces of engine `e` against a known line and four engines of the usual pace. */
function learnPaces(samples: readonly number[], nowMs = 0): EnginePaces {
  const speed = new ReadSpeed(true);
  for (let sample = 1; sample < 30; sample += 1) speed.learnPrefill(sample * 300, sample * 6);
  const paces = new EnginePaces(speed);
  for (let sample = 0; sample < 80; sample += 1) {
    paces.learnPrefill(`usual-${sample % 4}`, 5_000, { elapsedMs: 100, waitMs: 0 }, nowMs);
  }
  for (const pace of samples) {
    paces.learnPrefill('e', 5_000, { elapsedMs: 100 / pace, waitMs: 0 }, nowMs);
  }
  return paces;
}

test('the line and the paces do not drift together when reads often take longer than predicted', () => {
  const random = seededRandom(12);
  const speed = new ReadSpeed(true);
  const paces = new EnginePaces(speed);
  for (let sample = 0; sample < 40_000; sample += 1) {
    const place = Math.floor(random() * SPEEDS.length);
    const tokens = 500 + Math.floor(random() * 12_000);
    const ownMs = (5 + tokens / 50) / (SPEEDS[place] ?? 1);
    const elapsedMs = ownMs * (1 - 0.4 * Math.log(1 - random()));
    paces.learnPrefill(`e${place}`, tokens, { elapsedMs, waitMs: 0 }, sample);
  }
  const trueMs = 5 + 9_000 / 50;
  SPEEDS.forEach((factor, place) => {
    const believedMs = speed.prefillMs(9_000) / paces.paceOf(`e${place}`);
    const ratio = (believedMs * factor) / trueMs;
    assert.ok(ratio > 0.9 && ratio < 1.6, `engine ${place}: ${ratio}`);
  });
  const logPaces = SPEEDS.map((_, place) => Math.log(paces.paceOf(`e${place}`)));
  assert.ok(Math.abs(meanOf(logPaces)) < 0.15, 'the mean log pace is near that of the usual pace');
});

test('a pace is near the usual one after one sample, near its true value after many, and decays with age', () => {
  assert.equal(learnPaces([]).paceOf('e'), 1);
  const few = learnPaces([1.7]).paceOf('e');
  assert.ok(few > 1 && few < 1.4, `${few}`);
  const paces = learnPaces(Array.from({ length: 30 }, () => 1.7));
  // The usual pace is the mean of all five engines, a little above that of the other four.
  const ratio = paces.paceOf('e') / paces.paceOf('usual-1');
  assert.ok(ratio > 1.4 && ratio < 1.8, `${ratio}`);
  paces.refresh(3_600_000);
  assert.ok(paces.paceOf('e') < 1.1, 'an hour later the pace is close to the usual one');
  paces.forget('e');
  assert.equal(paces.paceOf('e'), 1);
});

test('occasional waits or temporary slowdowns do not change the pace of an engine', () => {
  const random = seededRandom(3);
  const samples = Array.from({ length: 120 }, () => (random() < 0.15 ? 0.4 : 1));
  assert.equal(learnPaces(samples).paceOf('e'), 1);
});

test('a permanent slowdown lowers the pace of an engine', () => {
  const samples = Array.from({ length: 240 }, (_, sample) => (sample < 40 ? 1 : 0.5));
  const pace = learnPaces(samples).paceOf('e');
  assert.ok(pace < 0.72, `${pace}`);
});

test('a pace is finite and within bounds for arbitrary samples', () => {
  const sample = fc.record({
    tokens: fc.double(),
    elapsedMs: fc.double(),
    waitMs: fc.double({ min: 0, noNaN: true }),
  });
  fc.assert(
    fc.property(fc.array(sample, { maxLength: 40 }), (samples) => {
      const paces = learnPaces([1, 1, 1]);
      samples.forEach(({ tokens, ...read }, place) => {
        paces.learnPrefill('e', tokens, read, place);
      });
      const pace = paces.paceOf('e');
      assert.ok(pace >= 1 / 8.001 && pace <= 8.001, `${pace}`);
    }),
    { seed: 4, numRuns: 300 },
  );
});

test('first tokens reveal a slower decode engine, and no differences among engines that take equally long', () => {
  const paces = learnPaces([]);
  for (let round = 0; round < 60; round += 1) {
    // All take half again as long as the line predicts, and one of them twice that.
    for (const id of ['a', 'b', 'c', 'd']) {
      paces.learnDecode(id, 1_000, id === 'd' ? 120 : 60, true, round);
    }
  }
  const others = ['a', 'b', 'c'].map((id) => paces.paceOf(id));
  for (const pace of others) assert.ok(pace > 0.95 && pace < 1.25, `${pace}`);
  assert.ok(paces.paceOf('d') < 0.8, `${paces.paceOf('d')}`);
});

test('equal paces of any value leave the preferred engine of each part to rendezvous hashing alone', () => {
  const ids = ENGINES.map(({ id }) => id);
  for (let part = 0; part < 300; part += 1) {
    const first = rankByRendezvous(`part-${part}`, ids)[0];
    assert.equal(preferredEngineOf(`part-${part}`, ENGINES)?.id, first);
    assert.equal(preferredEngineOf(`part-${part}`, ENGINES, () => 1.7)?.id, first);
  }
});

test('a slower engine is preferred for far fewer parts, and the other engines keep theirs', () => {
  const paceOf = (id: string) => (id === 'e0' ? 0.5 : 1);
  const counts = new Map<string, number>();
  for (let part = 0; part < 6_000; part += 1) {
    const home = preferredEngineOf(`part-${part}`, ENGINES, paceOf)?.id ?? '';
    counts.set(home, (counts.get(home) ?? 0) + 1);
    const even = preferredEngineOf(`part-${part}`, ENGINES)?.id;
    if (even !== 'e0') assert.equal(home, even);
  }
  const others = [...counts].filter(([id]) => id !== 'e0').map(([, count]) => count);
  const ratio = (counts.get('e0') ?? 0) / meanOf(others);
  assert.ok(ratio > 0.09 && ratio < 0.17, `${ratio}`);
});

test('small changes of the pace do not change the quantized pace', () => {
  let current = 1;
  for (const pace of [0.8, 1.2, 0.65, 1.5, 1]) {
    current = quantizedPace(pace, current);
    assert.equal(current, 1);
  }
  current = quantizedPace(0.55, current);
  assert.equal(current, 0.5);
  assert.equal(quantizedPace(0.75, current), 0.5);
  assert.equal(quantizedPace(0.9, current), 1);
});

test('stage changes take paces into account: fast prefill engines need no additional ones', () => {
  const engines = ENGINES.map((one, place) =>
    engine(one.id, { stage: place < 4 ? 'prefill' : 'decode' }),
  );
  const need = { prefillEngines: 2, decodeEngines: 1, requests: 100 };
  const plan = (paceOf?: (id: string) => number) =>
    planStageChanges({
      engines,
      need,
      startingEngines: 0,
      busyOf: () => 0,
      ...(paceOf === undefined ? {} : { paceOf }),
    });
  assert.equal(plan()[0]?.stage, 'prefill');
  assert.deepEqual(
    plan(() => 1),
    plan(),
  );
  const fastReaders = (id: string) => (Number(id.slice(1)) < 4 ? 1.7 : 0.7);
  assert.deepEqual(plan(fastReaders), []);
});

function fleetPaces(isOn = true) {
  const speed = new ReadSpeed(isOn);
  const serviceOf = (id: string) => (id.startsWith('e') ? 's' : undefined);
  const use = isOn ? 'always' : 'never';
  return { speed, paces: new FleetPaces({ use, speedOf: () => speed, serviceOf }) };
}

/** Engines of the usual pace, against which others differ. */
const USUAL = Array.from({ length: 9 }, (_, place) => ({
  engineId: `e${10 + place}`,
  logPace: 0,
  weight: 16,
}));
const LINE = { weight: 10, x: 90_000, y: 1_800, xx: 900_000_000, xy: 18_000_000 };

function estimatesOf(
  engines: ServicePaceSums['engines'],
  line?: ServicePaceSums['line'],
): ServicePaceSums {
  return { service: 's', line, engines };
}

test('implausible entries and unlisted engines are ignored and counted; the other entries are applied', () => {
  const { paces, speed } = fleetPaces();
  const implausible = [
    { engineId: 'e1', logPace: Number.NaN, weight: 5 },
    { engineId: 'e1', logPace: -40, weight: 5 },
    { engineId: 'e1', logPace: 0.5, weight: -1 },
    { engineId: 'e1', logPace: 0.5, weight: 1e9 },
    { engineId: 'e1', logPace: Number.POSITIVE_INFINITY, weight: 1 },
    { engineId: 'unknown', logPace: 0.5, weight: 5 },
  ];
  assert.equal(paces.applyKnown([estimatesOf(implausible, { ...LINE, y: -5 })], 0), 7);
  assert.equal(
    paces.addObserved([estimatesOf(implausible, { ...LINE, weight: Number.NaN })], true, 0),
    7,
  );
  assert.deepEqual([paces.paceOf('e1'), paces.paceOf('unknown'), speed.isLearnt], [1, 1, false]);
  assert.deepEqual(paces.unadvertised(40), []);
  const good = { engineId: 'e2', logPace: Math.log(1.7), weight: 15 };
  assert.equal(paces.applyKnown([estimatesOf([...implausible, ...USUAL, good], LINE)], 0), 6);
  assert.ok(Math.abs(paces.paceOf('e2') - 1.6) < 0.15, `${paces.paceOf('e2')}`);
  assert.equal(speed.prefillMs(9_000), 180);
});

test('the estimates of a relay replace own ones, except when their weight is too small', () => {
  const { paces } = fleetPaces();
  const first = { engineId: 'e1', logPace: Math.log(1.7), weight: 16 };
  paces.applyKnown([estimatesOf([...USUAL, first], LINE)], 0);
  paces.applyKnown([estimatesOf([{ engineId: 'e1', logPace: Math.log(0.5), weight: 1 }])], 0);
  assert.ok(paces.paceOf('e1') > 1.4);
  paces.applyKnown([estimatesOf([{ engineId: 'e1', logPace: Math.log(0.6), weight: 16 }])], 0);
  assert.ok(paces.paceOf('e1') < 0.7);
});

test('observations are advertised once, and a changed pace is returned once', () => {
  const { paces } = fleetPaces();
  for (let sample = 0; sample < 40; sample += 1) {
    const server = { id: sample % 2 === 0 ? 'e1' : 'e2', service: 's' };
    const elapsedMs = sample % 2 === 0 ? 90 : 180;
    paces.learnPrefill(server, 9_000, { elapsedMs, waitMs: 0 }, sample);
  }
  const seen = paces.unadvertised(40);
  assert.deepEqual(seen[0]?.engines.map(({ engineId }) => engineId).sort(), ['e1', 'e2']);
  paces.markAdvertised(seen);
  assert.deepEqual(paces.unadvertised(40), []);
  const changes = paces.takeChanges(9);
  assert.ok(changes.length >= 1);
  assert.deepEqual(paces.takeChanges(9), []);
  paces.forget({ id: 'e1', service: 's' });
  assert.equal(paces.paceOf('e1'), 1);
});

test('the engines whose paces differ most are returned, up to the given number', () => {
  const { paces } = fleetPaces();
  const deviating = [0.9, -0.7, 0.5].map((logPace, place) => ({
    engineId: `e${place}`,
    logPace,
    weight: 16,
  }));
  paces.applyKnown([estimatesOf([...USUAL, ...deviating], LINE)], 0);
  assert.deepEqual([...paces.largestDeviations(2).keys()], ['e0', 'e1']);
  assert.deepEqual([...paces.largestDeviations(99).keys()], ['e0', 'e1', 'e2']);
});

test('with paces disabled, all engines have one pace whatever is observed or received', () => {
  const { paces, speed } = fleetPaces(false);
  const baseline = new ReadSpeed();
  for (let sample = 1; sample < 40; sample += 1) {
    const elapsedMs = sample % 2 === 0 ? 90 : 180;
    const server = { id: `e${sample % 2}`, service: 's' };
    paces.learnPrefill(server, sample * 100, { elapsedMs, waitMs: 20 }, sample);
    baseline.learnPrefill(sample * 100, elapsedMs);
    paces.learnDecode(server, sample * 10, elapsedMs, true, sample);
    baseline.learnDecode(sample * 10, elapsedMs);
  }
  paces.applyKnown([estimatesOf([{ engineId: 'e1', logPace: 0.5, weight: 16 }], LINE)], 0);
  assert.equal(paces.paceOf('e1'), 1);
  assert.deepEqual(
    [speed.prefillMs(7_000), speed.decodeMs(700)],
    [baseline.prefillMs(7_000), baseline.decodeMs(700)],
  );
});

test('the setting enginePaces enables or disables paces in the fleet view', () => {
  const options = { ratio: 0.2, slack: 50 };
  for (const enginePaces of ['always', 'never'] as const) {
    const fleet = new FleetView(options, undefined, { enginePaces, waiting: true });
    const servers = [...USUAL, { engineId: 'e1' }].map(({ engineId }) =>
      engine(engineId, { stage: 'decode' }),
    );
    fleet.directory.replaceAll(servers);
    const fast = { engineId: 'e1', logPace: Math.log(2), weight: 16 };
    fleet.paces.applyKnown([estimatesOf([...USUAL, fast], LINE)], 0);
    assert.equal(fleet.paceOf('e1') > 1.7, enginePaces === 'always');
    assert.equal(fleet.paceOf('not listed'), 1);
    const change = fleet.directory.replaceAll([]);
    fleet.forgetEndedBoots(change);
    fleet.directory.replaceAll(servers);
    assert.equal(
      fleet.paceOf('e1'),
      1,
      'a removed engine that is listed again starts from the usual pace',
    );
  }
});
