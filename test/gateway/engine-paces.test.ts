/** Each engine's pace is learnt, and decisions count engines by it; equal engines are decided on as one pace. */
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
import { type PlannedRead, playUnlikeEngines, seededRandom } from './support/engine-simulation.js';

const SPEEDS = Array.from({ length: 12 }, (_, place) => [0.7, 0.7, 1.7][place % 3] ?? 1);
const LEARNT_AFTER = 400;
const SEEDS = [1, 2, 3, 4, 5];

/** Prompts come this far apart on average: engines are taken up to three quarters, or nearly all the time. */
const GAPS_MS = { usual: 17, busy: 15 } as const;

function play(
  seed: number,
  hasPaces: boolean,
  load: keyof typeof GAPS_MS = 'usual',
): readonly PlannedRead[] {
  const moments = { slowShare: 0.15, slowFactor: 2.5 };
  const prompts = { gapMs: GAPS_MS[load], prompts: 1_600 };
  const options = { speeds: SPEEDS, hasPaces, seed, ...moments, ...prompts };
  return playUnlikeEngines(options).slice(LEARNT_AFTER);
}

function meanOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}

/** Expected against seen, by engine. */
function ratiosOf(reads: readonly PlannedRead[]): readonly number[] {
  return SPEEDS.map((_, engine) => {
    const own = reads.filter((read) => read.engine === engine);
    const expectedMs = meanOf(own.map((read) => read.expectedMs));
    return expectedMs / meanOf(own.map((read) => read.seenMs));
  });
}

function medianOf(numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0;
}

function medianMiss(reads: readonly PlannedRead[]): number {
  return medianOf(reads.map(({ expectedMs, seenMs }) => Math.abs(expectedMs - seenMs) / seenMs));
}

/** The time that the busiest engine is taken up, against the mean. */
function busiest(reads: readonly PlannedRead[]): number {
  const busyMs = SPEEDS.map((_, engine) =>
    reads.reduce((sum, read) => sum + (read.engine === engine ? read.usualMs : 0), 0),
  );
  return Math.max(...busyMs) / meanOf(busyMs);
}

test('engines of unlike speed, each slow at moments, are expected as they are and share the work by pace', () => {
  for (const seed of SEEDS) {
    const reads = play(seed, true);
    assert.ok(medianMiss(reads) <= 0.2, `seed ${seed}: missed by ${medianMiss(reads)}`);
    const mostTaken = busiest(play(seed, true, 'busy'));
    assert.ok(mostTaken <= 1.3, `seed ${seed}: busiest ${mostTaken}`);
    const ratios = ratiosOf(reads);
    for (const ratio of ratios) assert.ok(ratio > 0.6 && ratio < 1.5, `seed ${seed}: ${ratio}`);
    const before = play(seed, false);
    assert.ok(medianMiss(before) > 0.25, 'one pace for all misses them');
    assert.ok(medianOf(ratiosOf(before)) < 0.6, 'most engines are slower than that pace');
    const seenMs = (played: readonly PlannedRead[]) => meanOf(played.map((read) => read.seenMs));
    assert.ok(seenMs(reads) < seenMs(before), `seed ${seed}: no sooner read`);
  }
});

function engine(id: string, fields: Partial<ServerRecord> = {}): ServerRecord {
  const place = { address: '127.0.0.1:1', zone: 'a', slots: 8, isSpot: false };
  return { id, service: 's', ...place, state: 'ready', stage: 'prefill', ...fields };
}

const ENGINES = Array.from({ length: 10 }, (_, place) =>
  engine(`e${place}`, { stage: place < 6 ? 'prefill' : 'decode' }),
);

test('equal engines come to one pace, and each plan to what it is without paces', () => {
  const random = seededRandom(8);
  const speed = new ReadSpeed(true);
  const alone = new ReadSpeed(true);
  const paces = new EnginePaces(speed);
  const prefixIndex = new PrefixCacheIndex();
  const load = new EngineLoad();
  for (let sample = 0; sample < 2_000; sample += 1) {
    const tokens = 500 + Math.floor(random() * 12_000);
    // As long as the last one, a little more, or with a wait that nobody knew of.
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
  const missedMs = Math.abs(speed.prefillMs(9_000) - alone.prefillMs(9_000));
  assert.ok(missedMs < 0.02 * alone.prefillMs(9_000), 'the line is the one learnt without paces');
});

/** Samples of a pace, as they are seen against a line that is known. */
function learnt(samples: readonly number[], nowMs = 0): EnginePaces {
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

test('the line and the paces do not drift away together, though reads often take longer than they should', () => {
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
  const paceOfAll = SPEEDS.map((_, place) => Math.log(paces.paceOf(`e${place}`)));
  assert.ok(Math.abs(meanOf(paceOfAll)) < 0.15, 'the usual pace is their mean');
});

test('few samples say little, many say what they are, and all of it fades with age', () => {
  assert.equal(learnt([]).paceOf('e'), 1);
  const few = learnt([1.7]).paceOf('e');
  assert.ok(few > 1 && few < 1.4, `${few}`);
  const paces = learnt(Array.from({ length: 30 }, () => 1.7));
  // The usual pace is the mean of the five, a little above that of four of them.
  const ratio = paces.paceOf('e') / paces.paceOf('usual-1');
  assert.ok(ratio > 1.4 && ratio < 1.8, `${ratio}`);
  paces.refresh(3_600_000);
  assert.ok(paces.paceOf('e') < 1.1, 'an hour later it is nearly the usual one');
  paces.forget('e');
  assert.equal(paces.paceOf('e'), 1);
});

test('an engine that waits now and then, or is slow for a moment, keeps its pace', () => {
  const random = seededRandom(3);
  const samples = Array.from({ length: 120 }, () => (random() < 0.15 ? 0.4 : 1));
  assert.equal(learnt(samples).paceOf('e'), 1);
});

test('an engine that has become slow for good is known to be', () => {
  const samples = Array.from({ length: 240 }, (_, sample) => (sample < 40 ? 1 : 0.5));
  const pace = learnt(samples).paceOf('e');
  assert.ok(pace < 0.72, `${pace}`);
});

test('whatever is seen, a pace is finite and within bounds', () => {
  const sample = fc.record({
    tokens: fc.double(),
    elapsedMs: fc.double(),
    waitMs: fc.double({ min: 0, noNaN: true }),
  });
  fc.assert(
    fc.property(fc.array(sample, { maxLength: 40 }), (samples) => {
      const paces = learnt([1, 1, 1]);
      samples.forEach(({ tokens, ...read }, place) => {
        paces.learnPrefill('e', tokens, read, place);
      });
      const pace = paces.paceOf('e');
      assert.ok(pace >= 1 / 8.001 && pace <= 8.001, `${pace}`);
    }),
    { seed: 4, numRuns: 300 },
  );
});

test('the first token shows the pace of an engine that generates, and nothing where all take as long', () => {
  const paces = learnt([]);
  for (let round = 0; round < 60; round += 1) {
    // All take half as long again as the line says, and one of them twice that.
    for (const id of ['a', 'b', 'c', 'd']) {
      paces.learnDecode(id, 1_000, id === 'd' ? 120 : 60, true, round);
    }
  }
  const others = ['a', 'b', 'c'].map((id) => paces.paceOf(id));
  for (const pace of others) assert.ok(pace > 0.95 && pace < 1.25, `${pace}`);
  assert.ok(paces.paceOf('d') < 0.8, `${paces.paceOf('d')}`);
});

test('the home of a part is as before where paces are equal, whatever they are', () => {
  const ids = ENGINES.map(({ id }) => id);
  for (let part = 0; part < 300; part += 1) {
    const first = rankByRendezvous(`part-${part}`, ids)[0];
    assert.equal(preferredEngineOf(`part-${part}`, ENGINES)?.id, first);
    assert.equal(preferredEngineOf(`part-${part}`, ENGINES, () => 1.7)?.id, first);
  }
});

test('a slower engine is the home of far fewer parts, and the others keep those that they had', () => {
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

test('small changes of an engine’s pace move no part', () => {
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

test('a split is judged by the pace of its engines: fast ones that read need no more beside them', () => {
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

/** Engines of the usual pace, which others differ from. */
const USUAL = Array.from({ length: 9 }, (_, place) => ({
  engineId: `e${10 + place}`,
  logPace: 0,
  weight: 16,
}));
const LINE = { weight: 10, x: 90_000, y: 1_800, xx: 900_000_000, xy: 18_000_000 };

function told(
  engines: ServicePaceSums['engines'],
  line?: ServicePaceSums['line'],
): ServicePaceSums {
  return { service: 's', line, engines };
}

test('nonsense and engines that are not listed are ignored and counted; the rest is taken', () => {
  const { paces, speed } = fleetPaces();
  const nonsense = [
    { engineId: 'e1', logPace: Number.NaN, weight: 5 },
    { engineId: 'e1', logPace: -40, weight: 5 },
    { engineId: 'e1', logPace: 0.5, weight: -1 },
    { engineId: 'e1', logPace: 0.5, weight: 1e9 },
    { engineId: 'e1', logPace: Number.POSITIVE_INFINITY, weight: 1 },
    { engineId: 'unknown', logPace: 0.5, weight: 5 },
  ];
  assert.equal(paces.applyKnown([told(nonsense, { ...LINE, y: -5 })], 0), 7);
  assert.equal(paces.addObserved([told(nonsense, { ...LINE, weight: Number.NaN })], true, 0), 7);
  assert.deepEqual([paces.paceOf('e1'), paces.paceOf('unknown'), speed.isLearnt], [1, 1, false]);
  assert.deepEqual(paces.unadvertised(40), []);
  const good = { engineId: 'e2', logPace: Math.log(1.7), weight: 15 };
  assert.equal(paces.applyKnown([told([...nonsense, ...USUAL, good], LINE)], 0), 6);
  assert.ok(Math.abs(paces.paceOf('e2') - 1.6) < 0.15, `${paces.paceOf('e2')}`);
  assert.equal(speed.prefillMs(9_000), 180);
});

test('a relay’s word counts for more than what one daemon saw, but not that of one that has just begun', () => {
  const { paces } = fleetPaces();
  const first = { engineId: 'e1', logPace: Math.log(1.7), weight: 16 };
  paces.applyKnown([told([...USUAL, first], LINE)], 0);
  paces.applyKnown([told([{ engineId: 'e1', logPace: Math.log(0.5), weight: 1 }])], 0);
  assert.ok(paces.paceOf('e1') > 1.4);
  paces.applyKnown([told([{ engineId: 'e1', logPace: Math.log(0.6), weight: 16 }])], 0);
  assert.ok(paces.paceOf('e1') < 0.7);
});

test('what was seen is told once, and a change of belief is given once', () => {
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

test('an operator is shown the engines that differ most, and no more than there is room for', () => {
  const { paces } = fleetPaces();
  const unlike = [0.9, -0.7, 0.5].map((logPace, place) => ({
    engineId: `e${place}`,
    logPace,
    weight: 16,
  }));
  paces.applyKnown([told([...USUAL, ...unlike], LINE)], 0);
  assert.deepEqual([...paces.largestDeviations(2).keys()], ['e0', 'e1']);
  assert.deepEqual([...paces.largestDeviations(99).keys()], ['e0', 'e1', 'e2']);
});

test('switched off, all engines have one pace, whatever is seen and told', () => {
  const { paces, speed } = fleetPaces(false);
  const before = new ReadSpeed();
  for (let sample = 1; sample < 40; sample += 1) {
    const elapsedMs = sample % 2 === 0 ? 90 : 180;
    const server = { id: `e${sample % 2}`, service: 's' };
    paces.learnPrefill(server, sample * 100, { elapsedMs, waitMs: 20 }, sample);
    before.learnPrefill(sample * 100, elapsedMs);
    paces.learnDecode(server, sample * 10, elapsedMs, true, sample);
    before.learnDecode(sample * 10, elapsedMs);
  }
  paces.applyKnown([told([{ engineId: 'e1', logPace: 0.5, weight: 16 }], LINE)], 0);
  assert.equal(paces.paceOf('e1'), 1);
  assert.deepEqual(
    [speed.prefillMs(7_000), speed.decodeMs(700)],
    [before.prefillMs(7_000), before.decodeMs(700)],
  );
});

test('the settings switch paces off for all that a daemon decides', () => {
  const options = { ratio: 0.2, slack: 50 };
  for (const enginePaces of ['always', 'never'] as const) {
    const fleet = new FleetView(options, undefined, { enginePaces, waiting: true });
    const servers = [...USUAL, { engineId: 'e1' }].map(({ engineId }) =>
      engine(engineId, { stage: 'decode' }),
    );
    fleet.directory.replaceAll(servers);
    const fast = { engineId: 'e1', logPace: Math.log(2), weight: 16 };
    fleet.paces.applyKnown([told([...USUAL, fast], LINE)], 0);
    assert.equal(fleet.paceOf('e1') > 1.7, enginePaces === 'always');
    assert.equal(fleet.paceOf('not listed'), 1);
    const change = fleet.directory.replaceAll([]);
    fleet.forgetEndedBoots(change);
    fleet.directory.replaceAll(servers);
    assert.equal(fleet.paceOf('e1'), 1, 'another life has its own pace');
  }
});
