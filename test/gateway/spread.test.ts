/**
 * Daemons that decide by the same delayed load sums must not all choose the same engine: work is spread evenly, shared
 * parts are not read more often, and choices do not change where no work is unseen.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  chooseDecodeEngine,
  type EngineChoiceInput,
  EngineLoad,
  type EnginePlan,
  PeerLoads,
  PrefixCacheIndex,
  planModelRequest,
  ReadSpeed,
  ServerHealth,
  type ServerRecord,
  type UnseenWork,
  unseenWork,
} from '../../src/core/gateway/index.js';
import { drawSpread, levelOf } from '../../src/core/gateway/spread-choice.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { busiestToMeanWait, replaySpread, type SpreadScenario } from './support/spread-replay.js';

const SEEDS = [1, 2, 3, 4];
/**
 * Load of the busiest engine relative to the mean. Random variation alone stays below this, as each engine gets
 * many prompts a second.
 */
const MAX_UNEVENNESS = 1.3;
const FIRST_SECOND = [0, 1_000] as const;
const AFTER_FIRST_SECOND = [1_000, 4_000] as const;

/** Demand of two thirds of what the engines can read. */
const LOADED: SpreadScenario = {
  seed: 1,
  daemons: 83,
  enginesOfStage: 21,
  requestsPerSecond: 600,
  sharedParts: 40,
  sharedTokens: 1_500,
  durationMs: 4_000,
  isSpreading: true,
  prefillTokensPerMs: 51,
};
/** A scenario with enough prompts in the first second to measure how evenly they are spread. */
const STARTUP: SpreadScenario = {
  ...LOADED,
  requestsPerSecond: 2_000,
  prefillTokensPerMs: 180,
  sharedTokens: 1,
  durationMs: 1_000,
};

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function replayAll(scenario: SpreadScenario) {
  return SEEDS.map((seed) => replaySpread({ ...scenario, seed }));
}

function unevenness(scenario: SpreadScenario, span: readonly [number, number]): number {
  const { enginesOfStage } = scenario;
  return meanOf(
    replayAll(scenario).map(({ arrivals }) =>
      busiestToMeanWait(arrivals, 'prefill', enginesOfStage, span),
    ),
  );
}

test('equal engines get equal work from the first second after the start of a fleet', () => {
  const measured = unevenness(STARTUP, FIRST_SECOND);
  assert.ok(measured <= MAX_UNEVENNESS, `the busiest engine had ${measured} times the mean`);
  const unspread = unevenness({ ...STARTUP, isSpreading: false }, FIRST_SECOND);
  assert.ok(unspread > MAX_UNEVENNESS, 'without spreading, this load is uneven');
});

test('under load the work stays even without more reads of shared parts or more hand-overs', () => {
  const spread = replayAll(LOADED);
  const herding = replayAll({ ...LOADED, isSpreading: false });
  const measured = meanOf(
    spread.map(({ arrivals }) => busiestToMeanWait(arrivals, 'prefill', 21, AFTER_FIRST_SECOND)),
  );
  assert.ok(measured <= MAX_UNEVENNESS, `the busiest engine had ${measured} times the mean`);
  const sum = (outcomes: typeof spread, key: 'sharedReadTokens' | 'handOvers') =>
    outcomes.reduce((total, outcome) => total + outcome[key], 0);
  const maxRatio = 1.03;
  assert.ok(sum(spread, 'sharedReadTokens') <= maxRatio * sum(herding, 'sharedReadTokens'));
  assert.ok(sum(spread, 'handOvers') <= maxRatio * sum(herding, 'handOvers'));
  const slowest = (outcomes: typeof spread) => {
    const times = outcomes.flatMap(({ firstTokens }) => firstTokens.map(({ tookMs }) => tookMs));
    return times.sort((left, right) => left - right)[Math.floor(0.99 * times.length)] ?? 0;
  };
  assert.ok(
    slowest(spread) < slowest(herding),
    'the 99th percentile of the time to the first token is lower with spreading',
  );
});

test('raising the least loaded engines to the level takes exactly the given work', () => {
  const loads = fc.array(fc.double({ min: 0, max: 5_000, noNaN: true }), { minLength: 1 });
  fc.assert(
    fc.property(loads, fc.double({ min: 1, max: 100_000, noNaN: true }), (loadsMs, workMs) => {
      const levelMs = levelOf(loadsMs, workMs);
      const pouredMs = loadsMs.reduce((sum, loadMs) => sum + Math.max(0, levelMs - loadMs), 0);
      assert.ok(Math.abs(pouredMs - workMs) <= 1e-6 * workMs, `${pouredMs}`);
    }),
    { seed: 7, numRuns: 500 },
  );
});

const BY_RATE: UnseenWork = { kind: 'by-rate', prefillMs: 400, prompts: 8, shortPrompts: 0 };

function candidate(id: string, loadMs: number, costMs = loadMs, preferenceBonusMs = 0) {
  return { id, loadMs, costMs, preferenceBonusMs };
}

function drawn(candidates: ReturnType<typeof candidate>[], entropy: number, unseen = BY_RATE) {
  const work = {
    spread: { unseen, entropy },
    stage: 'prefill',
    readMs: 50,
    shortReadMs: 5,
    runMs: 0,
  } as const;
  return drawSpread(candidates, work)?.id;
}

test('engines are drawn in proportion to their headroom below the level, and never above it', () => {
  const engines = [candidate('a', 0), candidate('b', 100), candidate('c', 2_000)];
  const draws = Array.from({ length: 100 }, (_, index) => drawn(engines, index / 100));
  const count = (id: string) => draws.filter((draw) => draw === id).length;
  assert.deepEqual([count('a'), count('b'), count('c')], [63, 37, 0]);
  assert.equal(drawn([], 0.5), undefined);
});

test('an engine that has the part cached gets all its prompts while it is below the level', () => {
  const cachingEngine = candidate('keeper', 90, 90);
  const others = ['a', 'b', 'c'].map((id) => candidate(id, 0, 30));
  for (let index = 0; index < 20; index += 1) {
    assert.equal(drawn([cachingEngine, ...others], index / 20), 'keeper');
  }
});

test('a preferred engine above the level gets no bonus', () => {
  const preferred = candidate('home', 500, 150, 350);
  const others = ['a', 'b'].map((id) => candidate(id, 0, 200));
  assert.notEqual(drawn([preferred, ...others], 0.9), 'home');
});

const DEMAND = { prefillMs: 600, decodeMs: 0, requests: 60, shortRequests: 6 };
const KNOWN = {
  daemons: 83,
  reportingDaemons: 0,
  knownAgeMs: 20,
  own: { ...DEMAND, requests: 0, prefillMs: 0, shortRequests: 0 },
  all: DEMAND,
  spanMs: 6_000,
  busyForMs: Number.POSITIVE_INFINITY,
};

test('unseen work is derived from request rate and report age, and from the number of daemons before any report', () => {
  assert.equal(unseenWork({ ...KNOWN, daemons: undefined }), undefined);
  assert.equal(
    unseenWork({ ...KNOWN, daemons: 12 }),
    undefined,
    'in a small fleet daemons report to each other directly',
  );
  const known = unseenWork(KNOWN);
  assert.deepEqual(
    known?.kind === 'by-rate' ? [known.prefillMs, known.prompts].map(Math.round) : [],
    [12, 1],
  );
  const young = unseenWork({ ...KNOWN, busyForMs: 600 });
  assert.equal(young?.kind === 'by-rate' ? Math.round(young.prefillMs) : 0, 120);
  assert.deepEqual(unseenWork({ ...KNOWN, busyForMs: undefined }), {
    kind: 'by-daemons',
    daemons: 82,
  });
  const withoutRelay = { ...KNOWN, knownAgeMs: undefined, reportingDaemons: 30 };
  assert.deepEqual(unseenWork(withoutRelay), { kind: 'by-daemons', daemons: 52 });
});

test('a daemon knows since when the others have had requests, unless they had some before its start', () => {
  const demand = [{ service: 'm', ...DEMAND }];
  const sums = { relay: 'r', incarnation: 1, isComplete: true, work: [], reads: [], reach: [] };
  const loads = new PeerLoads();
  assert.equal(loads.sumsAgeMs(0), undefined);
  loads.applySums({ ...sums, sequence: 1, demand: [] }, [], 0);
  assert.equal(loads.busyForMs(10), undefined);
  loads.applySums({ ...sums, sequence: 2, demand }, [], 100);
  loads.applySums({ ...sums, sequence: 3, demand }, [], 200);
  assert.deepEqual([loads.busyForMs(250), loads.sumsAgeMs(250)], [150, 50]);
  assert.equal(loads.sumsAgeMs(9_000), undefined, 'the sums of a silent relay expire');
  const late = new PeerLoads();
  late.applySums({ ...sums, sequence: 4, demand }, [], 100);
  assert.equal(late.busyForMs(200), Number.POSITIVE_INFINITY);
});

function engine(id: string, stage: ServerRecord['stage'], zone: string): ServerRecord {
  const head = { id, service: 'm', address: '127.0.0.1:1', zone, stage };
  return { ...head, slots: 64, state: 'ready', isSpot: false };
}

/** Random inputs of a choice: loads, the engine that has the shared part cached, and the prompt. */
const moments = fc.record({
  loads: fc.array(fc.nat(800), { minLength: 8, maxLength: 8 }),
  running: fc.array(fc.nat(70), { minLength: 8, maxLength: 8 }),
  cachingEngine: fc.nat(7),
  sharedTokens: fc.nat(8_000),
  ownTokens: fc.integer({ min: 1, max: 6_000 }),
  entropy: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
});

type Moment = typeof moments extends fc.Arbitrary<infer T> ? T : never;

function inputOf(moment: Moment, unseen: UnseenWork | undefined): EngineChoiceInput {
  const candidates = moment.loads.map((_, index) =>
    engine(`e-${index}`, index < 4 ? 'prefill' : 'decode', `zone-${index % 2}`),
  );
  const loads = new Map(candidates.map(({ id }) => [id, new EngineLoad()]));
  for (const [index, { id }] of candidates.entries()) {
    const load = loads.get(id) ?? new EngineLoad();
    load.begin({ urgency: 'in-time', readMs: moment.loads[index] ?? 0, waitMs: 0 }, 0);
    load.running = moment.running[index] ?? 0;
  }
  const promptParts = [
    { id: 'shared', tokens: moment.sharedTokens },
    { id: 'own', tokens: moment.ownTokens },
  ];
  const promptTokens = moment.sharedTokens + moment.ownTokens;
  const speed = new ReadSpeed();
  speed.setInitialEstimate(7_000, 600);
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirm(`e-${moment.cachingEngine}`, 'shared', moment.sharedTokens);
  const health = new ServerHealth();
  const described = { attemptId: 'x', deadlineMs: 5_000, maxOutputTokens: 100 };
  return {
    candidates,
    excludedIds: new Set(),
    description: { ...described, promptParts, promptTokens },
    zone: 'zone-0',
    nowMs: 0,
    prefixIndex,
    peerLoads: new PeerLoads(),
    speed,
    waitFactor: () => 1,
    latencyBudgetMs: 540,
    shortReadsPerMs: 0,
    kvTokenBytes: 163_840,
    linkMbps: 1_600_000,
    healthOf: () => health,
    loadOf: (id) => loads.get(id) ?? new EngineLoad(),
    spread: unseen === undefined ? undefined : { unseen, entropy: moment.entropy },
  };
}

/** The parts of a plan that do not depend on the drawn engine. */
function stageAndUrgencyOf(plan: EnginePlan | undefined) {
  return { way: plan?.kind, urgency: plan?.read.urgency };
}

test('with almost no unseen work, each choice is the same as without spreading', () => {
  const nothing: UnseenWork = { kind: 'by-rate', prefillMs: 10, prompts: 0.4, shortPrompts: 0 };
  fc.assert(
    fc.property(moments, (moment) => {
      const withoutSpread = inputOf(moment, undefined);
      const withLittleUnseen = inputOf(moment, nothing);
      assert.deepEqual(planModelRequest(withLittleUnseen), planModelRequest(withoutSpread));
      const [source] = withoutSpread.candidates;
      if (source === undefined) return;
      assert.deepEqual(
        chooseDecodeEngine(withLittleUnseen, source),
        chooseDecodeEngine(withoutSpread, source),
      );
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('a spread choice has the same kind and urgency as the unspread one, and is in time if that is', () => {
  fc.assert(
    fc.property(moments, (moment) => {
      const withoutSpread = planModelRequest(inputOf(moment, undefined));
      const spread = planModelRequest(inputOf(moment, BY_RATE));
      assert.deepEqual(stageAndUrgencyOf(spread), stageAndUrgencyOf(withoutSpread));
      if (withoutSpread === undefined || spread === undefined || withoutSpread.expectedMs > 540)
        return;
      assert.ok(spread.expectedMs <= 540);
    }),
    { seed: 12, numRuns: 300 },
  );
});

test('busiestToMean is the queued work of the busiest engine relative to the mean', () => {
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  const services = new Map([['m', { name: 'm', engine: undefined, scaling: undefined }]]);
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  fleet.applyConfiguration({ version: 1, routes: [], tenants: undefined, services, limits }, 0);
  fleet.directory.replaceAll(['a', 'b'].map((id) => engine(id, 'prefill', 'zone-0')));
  assert.equal(fleet.busiestToMeanWait(0), 0);
  fleet.loadOf('a').begin({ urgency: 'in-time', readMs: 300, waitMs: 0 }, 0);
  fleet.loadOf('b').begin({ urgency: 'in-time', readMs: 100, waitMs: 0 }, 0);
  assert.equal(fleet.busiestToMeanWait(0), 1.5);
});
