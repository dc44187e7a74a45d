/** How long a routing decision takes with 820 engines, by policy and in the harder cases. */
import { configurationSchema } from '../src/core/configuration/document.js';
import type { EngineReport, EngineView } from '../src/core/registry/backend.js';
import {
  chooseEngine,
  expectedFinish,
  FleetIndex,
  leastOutstanding,
  type ModelTarget,
  OutlierTracker,
  OutstandingTable,
  PrefixIndex,
  powerOfTwo,
  type RoutingDecision,
  type RoutingPolicy,
  random,
  roundRobin,
} from '../src/core/routing/index.js';
import { type OperationTimes, timeOperations } from './measure.js';

const ENGINES = 820;
const ZONES = 7;
const DECISIONS = 50_000;
const IN_FLIGHT = 400;
const PREFIXES = 500;
const REPORT_LAG_MS = 300;
const GRANTED_UNTIL = 1e12;

/** One line of the result. */
export interface RoutingTimes extends OperationTimes {
  readonly policy: string;
  readonly case: string;
  readonly engines: number;
}

/** Measures all cases. */
export function benchRouting(): RoutingTimes[] {
  const policies = [expectedFinish, powerOfTwo, random, roundRobin, leastOutstanding];
  const results = policies.map((create) => measure(create(), 'open', 20));
  results.push(measure(expectedFinish(), 'nearly-all-full', 200));
  results.push(measure(expectedFinish(), 'all-full', 400));
  return results;
}

function measure(policy: RoutingPolicy, name: string, activeRequests: number): RoutingTimes {
  const index = new FleetIndex();
  const models = { labels: { version: 'v1' } };
  index.setConfiguration({ version: 1, document: configurationSchema.parse({ models }) });
  for (let place = 0; place < ENGINES; place += 1) {
    index.setView(viewOf(place, activeRequests, 0));
  }
  const outstanding = new OutstandingTable();
  const prefixes = new PrefixIndex();
  const outliers = new OutlierTracker();
  const excluded = new Set<string>();
  const context = { now: 0, entropy: 0 };
  let target = targetOf(0);
  let decision: RoutingDecision | null = null;
  const between = (turn: number) => {
    note(decision, turn, { index, outstanding, prefixes, target, activeRequests });
    target = targetOf(turn);
    context.now = turn;
    context.entropy = Math.imul(turn, 0x9e3779b9) >>> 0;
  };
  const decide = (turn: number) => {
    decision = chooseEngine({
      index,
      target,
      excluded,
      zone: `zone-${turn % ZONES}`,
      outstanding,
      outliers,
      prefixes,
      context,
      policy,
      version: null,
    });
  };
  const times = timeOperations(DECISIONS, decide, between);
  return { policy: policy.name, case: name, engines: ENGINES, ...times };
}

interface Books {
  readonly index: FleetIndex;
  readonly outstanding: OutstandingTable;
  readonly prefixes: PrefixIndex;
  readonly target: ModelTarget;
  readonly activeRequests: number;
}

/** One millisecond a decision: two engines report, a request starts and an earlier one ends. */
function note(decision: RoutingDecision | null, turn: number, books: Books): void {
  const { index, outstanding, prefixes, target, activeRequests } = books;
  for (const place of [(2 * turn) % ENGINES, (2 * turn + 1) % ENGINES]) {
    index.setView(viewOf(place, activeRequests, turn - REPORT_LAG_MS));
  }
  if (decision?.kind !== 'chosen') {
    return;
  }
  const { promptTokens, prefixHashes } = target;
  outstanding.recordStart({
    attempt: `a${turn}`,
    backend: decision.engine,
    at: turn,
    promptTokens,
  });
  outstanding.recordEnd(`a${turn - IN_FLIGHT}`, turn);
  prefixes.recordDispatch(decision.engine, prefixHashes);
}

function targetOf(turn: number): ModelTarget {
  const prefix = turn % PREFIXES;
  return {
    kind: 'model',
    model: 'labels',
    adapter: null,
    promptTokens: 900,
    maxOutputTokens: 100,
    prefixHashes: [`p${prefix}.0`, `p${prefix}.1`, `p${prefix}.2`],
  };
}

function viewOf(place: number, activeRequests: number, reportedAt: number): EngineView {
  const name = `engine-${place}`;
  const isOpen = activeRequests < 300 && place % 100 === 0;
  const zone = `zone-${place % ZONES}`;
  const endpoint = { address: '127.0.0.1', port: 1 };
  return {
    machine: { kind: 'engine', name, zone, state: 'live', accelerator: 'new', ...endpoint },
    report: report(name, isOpen ? 10 : activeRequests),
    reportedAt,
    grantedUntil: GRANTED_UNTIL,
    watcher: null,
  };
}

function report(engine: string, activeRequests: number): EngineReport {
  return {
    engine,
    boot: engine,
    role: 'mixed',
    intake: 'open',
    busy: false,
    leaving: false,
    models: [{ model: 'labels', version: 'v1', adapters: [] }],
    fence: null,
    lastOrder: null,
    maxBatch: 64,
    activeRequests,
    load: {
      ageMs: 300,
      running: Math.min(64, activeRequests),
      queued: Math.max(0, activeRequests - 64),
      queuedPrefillTokens: 500,
      kvUsed: 0.5,
      prefillTokensPerSecond: 20_000,
      decodeStepMs: 20,
    },
  };
}
