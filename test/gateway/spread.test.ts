/** Daemons that decide by the same sums: evenly spread work, shared parts read once, and no change where all shows. */
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
/** Beyond chance: each engine gets so many prompts in a second that chance alone stays below this. */
const MOST_UNEVEN = 1.3;
const FIRST_SECOND = [0, 1_000] as const;
const LATER = [1_000, 4_000] as const;

/** Two thirds of what the engines can read. */
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
/** Many prompts, so that the first second has enough of them to be even. */
const FIRST: SpreadScenario = {
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

test('equal engines get equal work from the first second of a fleet', () => {
  const measured = unevenness(FIRST, FIRST_SECOND);
  assert.ok(measured <= MOST_UNEVEN, `the busiest had ${measured} times the mean`);
  const unspread = unevenness({ ...FIRST, isSpreading: false }, FIRST_SECOND);
  assert.ok(unspread > MOST_UNEVEN, 'the load is one that herds');
});

test('under load the work stays even, and neither parts are read nor runs moved more often', () => {
  const spread = replayAll(LOADED);
  const herding = replayAll({ ...LOADED, isSpreading: false });
  const measured = meanOf(
    spread.map(({ arrivals }) => busiestToMeanWait(arrivals, 'prefill', 21, LATER)),
  );
  assert.ok(measured <= MOST_UNEVEN, `the busiest had ${measured} times the mean`);
  const sum = (outcomes: typeof spread, key: 'sharedReadTokens' | 'handOvers') =>
    outcomes.reduce((total, outcome) => total + outcome[key], 0);
  const most = 1.03;
  assert.ok(sum(spread, 'sharedReadTokens') <= most * sum(herding, 'sharedReadTokens'));
  assert.ok(sum(spread, 'handOvers') <= most * sum(herding, 'handOvers'));
  const slowest = (outcomes: typeof spread) => {
    const times = outcomes.flatMap(({ firstTokens }) => firstTokens.map(({ tookMs }) => tookMs));
    return times.sort((left, right) => left - right)[Math.floor(0.99 * times.length)] ?? 0;
  };
  assert.ok(slowest(spread) < slowest(herding), 'the slowest first tokens come sooner');
});

test('the level takes exactly the work that is poured over the lowest', () => {
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

test('engines are drawn by their room below the level, and those above it are left alone', () => {
  const engines = [candidate('a', 0), candidate('b', 100), candidate('c', 2_000)];
  const draws = Array.from({ length: 100 }, (_, place) => drawn(engines, place / 100));
  const count = (id: string) => draws.filter((draw) => draw === id).length;
  assert.deepEqual([count('a'), count('b'), count('c')], [63, 37, 0]);
  assert.equal(drawn([], 0.5), undefined);
});

test('an engine that keeps the part has its prompts while it is below the level', () => {
  const keeper = candidate('keeper', 90, 90);
  const others = ['a', 'b', 'c'].map((id) => candidate(id, 0, 30));
  for (let place = 0; place < 20; place += 1) {
    assert.equal(drawn([keeper, ...others], place / 20), 'keeper');
  }
});

test('a home that is above the level has no bonus any more', () => {
  const home = candidate('home', 500, 150, 350);
  const others = ['a', 'b'].map((id) => candidate(id, 0, 200));
  assert.notEqual(drawn([home, ...others], 0.9), 'home');
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

test('what is unseen follows from rate and age, and before anything is told from the daemons', () => {
  assert.equal(unseenWork({ ...KNOWN, daemons: undefined }), undefined);
  assert.equal(unseenWork({ ...KNOWN, daemons: 12 }), undefined, 'these tell each other at once');
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

test('a follower knows since when the others are asked, a new one of a busy fleet does not', () => {
  const demand = [{ service: 'm', ...DEMAND }];
  const sums = { relay: 'r', incarnation: 1, isComplete: true, work: [], reads: [], reach: [] };
  const loads = new PeerLoads();
  assert.equal(loads.sumsAgeMs(0), undefined);
  loads.applySums({ ...sums, sequence: 1, demand: [] }, [], 0);
  assert.equal(loads.busyForMs(10), undefined);
  loads.applySums({ ...sums, sequence: 2, demand }, [], 100);
  loads.applySums({ ...sums, sequence: 3, demand }, [], 200);
  assert.deepEqual([loads.busyForMs(250), loads.sumsAgeMs(250)], [150, 50]);
  assert.equal(loads.sumsAgeMs(9_000), undefined, 'a relay that fell silent');
  const late = new PeerLoads();
  late.applySums({ ...sums, sequence: 4, demand }, [], 100);
  assert.equal(late.busyForMs(200), Number.POSITIVE_INFINITY);
});

function engine(id: string, stage: ServerRecord['stage'], zone: string): ServerRecord {
  const head = { id, service: 'm', address: '127.0.0.1:1', zone, stage };
  return { ...head, slots: 64, state: 'ready', isSpot: false };
}

/** A moment as a daemon saw it: loads, what is kept, and the prompt. */
const moments = fc.record({
  loads: fc.array(fc.nat(800), { minLength: 8, maxLength: 8 }),
  running: fc.array(fc.nat(70), { minLength: 8, maxLength: 8 }),
  keeper: fc.nat(7),
  sharedTokens: fc.nat(8_000),
  ownTokens: fc.integer({ min: 1, max: 6_000 }),
  entropy: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
});

type Moment = typeof moments extends fc.Arbitrary<infer T> ? T : never;

function inputOf(moment: Moment, unseen: UnseenWork | undefined): EngineChoiceInput {
  const candidates = moment.loads.map((_, place) =>
    engine(`e-${place}`, place < 4 ? 'prefill' : 'decode', `zone-${place % 2}`),
  );
  const loads = new Map(candidates.map(({ id }) => [id, new EngineLoad()]));
  for (const [place, { id }] of candidates.entries()) {
    const load = loads.get(id) ?? new EngineLoad();
    load.begin({ urgency: 'in-time', readMs: moment.loads[place] ?? 0, waitMs: 0 }, 0);
    load.running = moment.running[place] ?? 0;
  }
  const promptParts = [
    { id: 'shared', tokens: moment.sharedTokens },
    { id: 'own', tokens: moment.ownTokens },
  ];
  const promptTokens = moment.sharedTokens + moment.ownTokens;
  const speed = new ReadSpeed();
  speed.setInitialEstimate(7_000, 600);
  const prefixIndex = new PrefixCacheIndex();
  prefixIndex.confirm(`e-${moment.keeper}`, 'shared', moment.sharedTokens);
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

/** A plan without the engine, as a different one may have been drawn. */
function promiseOf(plan: EnginePlan | undefined) {
  return { way: plan?.kind, urgency: plan?.read.urgency };
}

test('where next to nothing is unseen, each decision is the one made by the sums alone', () => {
  const nothing: UnseenWork = { kind: 'by-rate', prefillMs: 10, prompts: 0.4, shortPrompts: 0 };
  fc.assert(
    fc.property(moments, (moment) => {
      const plain = inputOf(moment, undefined);
      const fresh = inputOf(moment, nothing);
      assert.deepEqual(planModelRequest(fresh), planModelRequest(plain));
      const [source] = plain.candidates;
      if (source === undefined) return;
      assert.deepEqual(chooseDecodeEngine(fresh, source), chooseDecodeEngine(plain, source));
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('a spread choice goes the same way as the unspread one, and is in time where that is', () => {
  fc.assert(
    fc.property(moments, (moment) => {
      const plain = planModelRequest(inputOf(moment, undefined));
      const spread = planModelRequest(inputOf(moment, BY_RATE));
      assert.deepEqual(promiseOf(spread), promiseOf(plain));
      if (plain === undefined || spread === undefined || plain.expectedMs > 540) return;
      assert.ok(spread.expectedMs <= 540);
    }),
    { seed: 12, numRuns: 300 },
  );
});

test('the gauge says how much more waits at the busiest engine than on the mean', () => {
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
