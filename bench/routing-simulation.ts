/**
 * Simulates routing on stale reports, in virtual time: several daemons, each with its own view, send
 * Poisson traffic to emulated engines through `chooseEngine`. Deterministic by seed.
 */
import { EMPTY_HASH } from '../src/core/common/hash.js';
import { configurationSchema } from '../src/core/configuration/document.js';
import type { EngineMachine } from '../src/core/registry/backend.js';
import {
  type CacheEvent,
  chooseEngine,
  FleetIndex,
  type ModelTarget,
  OutlierTracker,
  OutstandingTable,
  PrefixIndex,
  type RoutingPolicy,
} from '../src/core/routing/index.js';
import { EngineModel } from '../src/lab/engine/index.js';
import { VirtualClock } from '../src/lab/simulation/index.js';
import { Random } from '../src/lab/workload/random.js';
import { type SteppedEngine, scheduleSteps } from './engine-steps.js';

/** The parameters of a simulation. */
export interface RoutingScenario {
  readonly seed: number;
  readonly daemons: number;
  readonly engines: number;
  readonly zones: number;
  /** Whether every second engine has an accelerator of the old generation. */
  readonly mixedGenerations: boolean;
  /** The interval of an engine's reports and the age of a report when daemons receive it. */
  readonly reportLagMs: number;
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Number of shared prefixes of 2,048 tokens that prompts begin with; 0: none. */
  readonly sharedPrefixes: number;
  readonly durationMs: number;
  readonly createPolicy: () => RoutingPolicy;
  /** Whether daemons add the requests that they have sent themselves to the reported load. */
  readonly correctsByOwnSends: boolean;
}

/** The results of a simulation; times in milliseconds. */
export interface RoutingOutcome {
  readonly finished: number;
  readonly refused: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  /** The maximum of the engines' active requests divided by their mean, averaged over time. */
  readonly imbalance: number;
  /** The share of requests that stayed in their daemon's zone. */
  readonly localShare: number;
}

const MODEL = 'labels';
const VERSION = 'v1';
const WARM_UP_SHARE = 0.2;
const PREFIX_BLOCKS = 32;

interface Daemon {
  readonly zone: string;
  readonly index: FleetIndex;
  readonly outstanding: OutstandingTable;
  readonly outliers: OutlierTracker;
  readonly prefixes: PrefixIndex;
  readonly policy: RoutingPolicy;
}

interface Engine extends SteppedEngine {
  readonly machine: EngineMachine;
  cacheEventsSeen: number;
}

interface SentRequest {
  readonly daemon: Daemon;
  readonly at: number;
}

/** Runs one scenario. */
export function simulateRouting(scenario: RoutingScenario): RoutingOutcome {
  return new RoutingSimulation(scenario).run();
}

class RoutingSimulation {
  readonly #scenario: RoutingScenario;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  readonly #engines: Engine[];
  readonly #daemons: Daemon[];
  readonly #sent = new Map<string, SentRequest>();
  readonly #times: number[] = [];
  #requests = 0;
  #refused = 0;
  #local = 0;
  #imbalanceSum = 0;
  #imbalanceSamples = 0;

  constructor(scenario: RoutingScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed, 1);
    this.#engines = Array.from({ length: scenario.engines }, (_, place) => this.#engine(place));
    this.#daemons = Array.from({ length: scenario.daemons }, (_, place) => this.#daemon(place));
  }

  run(): RoutingOutcome {
    const { durationMs, reportLagMs, engines } = this.#scenario;
    for (const [place, engine] of this.#engines.entries()) {
      this.#clock.scheduleAt(0, () => this.#report(engine));
      this.#clock.scheduleAt((place * reportLagMs) / engines, () => this.#reportRegularly(engine));
    }
    this.#clock.scheduleAt(1, () => this.#arrive());
    this.#clock.scheduleAt(100, () => this.#sampleImbalance());
    this.#clock.runUntil(durationMs);
    return this.#outcome();
  }

  #engine(place: number): Engine {
    const { seed, zones, mixedGenerations, reportLagMs } = this.#scenario;
    const name = `engine-${place}`;
    const accelerator = mixedGenerations && place % 2 === 1 ? 'old' : 'new';
    const models = [{ model: MODEL, version: VERSION, adapters: [] }];
    const identity = { name, boot: name, role: 'mixed', models, accelerator } as const;
    const lags = { reportLagMs: 0, cacheEventDelayMs: reportLagMs };
    const model = new EngineModel({ ...identity, ...lags, seed: seed * 1_000 + place }, 0);
    const zone = `zone-${Math.floor(place / 2) % zones}`;
    const address = { address: '127.0.0.1', port: 1 };
    const machine = { kind: 'engine', name, zone, state: 'live', accelerator, ...address } as const;
    return { machine, model, cacheEventsSeen: 0, scheduledFor: -1 };
  }

  #daemon(place: number): Daemon {
    const index = new FleetIndex();
    const models = { [MODEL]: { version: VERSION } };
    index.setConfiguration({ version: 1, document: configurationSchema.parse({ models }) });
    return {
      zone: `zone-${place % this.#scenario.zones}`,
      index,
      outstanding: new OutstandingTable(),
      outliers: new OutlierTracker(),
      prefixes: new PrefixIndex(),
      policy: this.#scenario.createPolicy(),
    };
  }

  /** A report reaches all daemons `reportLagMs` after it was taken; the next is taken at that time. */
  #reportRegularly(engine: Engine): void {
    const lag = this.#scenario.reportLagMs;
    const takenAt = this.#clock.now;
    const report = engine.model.report(takenAt);
    const cacheEvents = this.#newCacheEvents(engine);
    this.#clock.scheduleAt(takenAt + lag, () => {
      this.#deliver(engine, report, takenAt, cacheEvents);
      this.#reportRegularly(engine);
    });
  }

  #report(engine: Engine): void {
    this.#deliver(engine, engine.model.report(this.#clock.now), this.#clock.now, []);
  }

  #deliver(
    engine: Engine,
    report: ReturnType<EngineModel['report']>,
    reportedAt: number,
    cacheEvents: readonly CacheEvent[],
  ): void {
    const grantedUntil = Number.POSITIVE_INFINITY;
    const view = { machine: engine.machine, report, reportedAt, grantedUntil, watcher: null };
    for (const daemon of this.#daemons) {
      daemon.index.setView(view);
      daemon.prefixes.applyCacheEvents(engine.machine.name, cacheEvents);
    }
  }

  #newCacheEvents(engine: Engine): readonly CacheEvent[] {
    const page = engine.model.cacheEvents(this.#clock.now, engine.cacheEventsSeen);
    engine.cacheEventsSeen = page.last;
    return page.events;
  }

  #arrive(): void {
    const { requestsPerSecond, daemons } = this.#scenario;
    const daemon = this.#daemons[this.#random.integer(0, daemons - 1)];
    if (daemon !== undefined) {
      this.#route(daemon);
    }
    const wait = this.#random.exponential(requestsPerSecond / 1_000);
    this.#clock.scheduleAt(this.#clock.now + wait, () => this.#arrive());
  }

  #route(daemon: Daemon): void {
    this.#requests += 1;
    const id = `r${this.#requests}`;
    const target = this.#target();
    const now = this.#clock.now;
    const decision = chooseEngine({
      index: daemon.index,
      target,
      excluded: new Set(),
      zone: daemon.zone,
      outstanding: daemon.outstanding,
      outliers: daemon.outliers,
      prefixes: daemon.prefixes,
      context: { now, entropy: this.#random.integer(0, 0xffff_ffff) },
      policy: daemon.policy,
      version: null,
    });
    const engine = this.#engines.find(
      (known) => decision.kind === 'chosen' && known.machine.name === decision.engine,
    );
    if (engine === undefined || !this.#submit(engine, id, target)) {
      this.#refused += 1;
      return;
    }
    this.#local += engine.machine.zone === daemon.zone ? 1 : 0;
    this.#sent.set(id, { daemon, at: now });
    if (this.#scenario.correctsByOwnSends) {
      const promptTokens = target.promptTokens;
      daemon.outstanding.recordStart({
        attempt: id,
        backend: engine.machine.name,
        at: now,
        promptTokens,
      });
      daemon.prefixes.recordDispatch(engine.machine.name, target.prefixHashes);
    }
    this.#schedule(engine);
  }

  #target(): ModelTarget {
    const { promptTokens, outputTokens, sharedPrefixes } = this.#scenario;
    const spread = 0.25 + 1.5 * this.#random.unit();
    const prefix = sharedPrefixes === 0 ? null : this.#random.integer(1, sharedPrefixes);
    const prefixHashes =
      prefix === null
        ? []
        : Array.from({ length: PREFIX_BLOCKS }, (_, block) => `${prefix}.${block}`);
    return {
      kind: 'model',
      model: MODEL,
      adapter: null,
      promptTokens: Math.round(promptTokens * spread) + prefixHashes.length * 64,
      maxOutputTokens: Math.max(1, Math.round(outputTokens * (0.25 + 1.5 * this.#random.unit()))),
      prefixHashes,
    };
  }

  #submit(engine: Engine, attempt: string, target: ModelTarget): boolean {
    const { promptTokens: tokens, maxOutputTokens: maxTokens, prefixHashes } = target;
    const prompt = { tokens, digest: EMPTY_HASH, blockHashes: prefixHashes };
    const answer = engine.model.submit(this.#clock.now, {
      attempt,
      priority: 0,
      name: MODEL,
      version: null,
      describe: () => prompt,
      work: { kind: 'completion', streamed: false, maxTokens, resumeOffset: 0, kvHandle: null },
    });
    return answer.kind === 'accepted';
  }

  #schedule(engine: Engine): void {
    scheduleSteps(this.#clock, engine, (output) => {
      if (output.kind === 'finished') this.#finish(output.attempt);
    });
  }

  #finish(id: string): void {
    const sent = this.#sent.get(id);
    if (sent === undefined) {
      return;
    }
    this.#sent.delete(id);
    sent.daemon.outstanding.recordEnd(id, this.#clock.now);
    if (sent.at > this.#scenario.durationMs * WARM_UP_SHARE) {
      this.#times.push(this.#clock.now - sent.at);
    }
  }

  #sampleImbalance(): void {
    const active = this.#engines.map((engine) => engine.model.activeRequests);
    const mean = active.reduce((sum, count) => sum + count, 0) / active.length;
    if (mean >= 1) {
      this.#imbalanceSum += Math.max(...active) / mean;
      this.#imbalanceSamples += 1;
    }
    this.#clock.scheduleAt(this.#clock.now + 100, () => this.#sampleImbalance());
  }

  #outcome(): RoutingOutcome {
    const times = this.#times.sort((left, right) => left - right);
    const at = (share: number) => Math.round(times[Math.floor(times.length * share)] ?? Number.NaN);
    const total = times.reduce((sum, time) => sum + time, 0);
    return {
      finished: times.length,
      refused: this.#refused,
      meanMs: Math.round(total / times.length),
      p50Ms: at(0.5),
      p95Ms: at(0.95),
      p99Ms: at(0.99),
      imbalance: Math.round((100 * this.#imbalanceSum) / this.#imbalanceSamples) / 100,
      localShare: Math.round((100 * this.#local) / this.#requests) / 100,
    };
  }
}
