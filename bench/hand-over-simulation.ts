/**
 * Measures the gain of separate prefill and decode roles with KV hand-over: a closed loop of requests
 * over emulated engines, all `mixed` or split, in virtual time. Routing uses exact, current load, so
 * that the result is an upper bound of what a role planner can gain.
 */
import { EMPTY_HASH } from '../src/core/common/hash.js';
import type { EngineRole } from '../src/core/registry/backend.js';
import { type AcceleratorName, EngineModel, type EngineOutput } from '../src/lab/engine/index.js';
import { VirtualClock } from '../src/lab/simulation/virtual-clock.js';
import { Random } from '../src/lab/workload/random.js';
import { type SteppedEngine, scheduleSteps } from './engine-steps.js';

/** The parameters of a simulation. */
export interface HandOverScenario {
  readonly seed: number;
  readonly engines: readonly { readonly role: EngineRole; readonly accelerator: AcceleratorName }[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Number of concurrent callers; each has one request in flight. */
  readonly callers: number;
  readonly durationMs: number;
}

/** The results, without the warm-up. */
export interface HandOverOutcome {
  readonly finishedPerSecond: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
}

const MODEL = 'labels';
const WARM_UP_SHARE = 0.25;
const IMPORT_RETRY_MS = 20;
const TOKEN_COUNT_SPREAD = 0.5;

interface Engine extends SteppedEngine {
  readonly role: EngineRole;
  readonly speed: number;
  /** Assigned requests, including those whose KV is being transferred to this engine. */
  assigned: number;
}

interface Request {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly startedAt: number;
  engine: Engine;
  lastTokenAt: number | null;
}

/** Runs one scenario. */
export function simulateHandOver(scenario: HandOverScenario): HandOverOutcome {
  return new HandOverSimulation(scenario).run();
}

class HandOverSimulation {
  readonly #scenario: HandOverScenario;
  readonly #clock = new VirtualClock();
  readonly #random: Random;
  readonly #prefillEngines: Engine[];
  readonly #decodingEngines: Engine[];
  readonly #requests = new Map<string, Request>();
  readonly #firstToken: number[] = [];
  readonly #betweenTokens: number[] = [];
  #finished = 0;
  #started = 0;

  constructor(scenario: HandOverScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed, 2);
    const engines = scenario.engines.map((engine, place) => this.#engine(engine, place));
    this.#prefillEngines = engines.filter((engine) => engine.role === 'prefill');
    this.#decodingEngines = engines.filter((engine) => engine.role !== 'prefill');
  }

  run(): HandOverOutcome {
    const { callers, durationMs } = this.#scenario;
    for (let caller = 0; caller < callers; caller += 1) {
      this.#clock.scheduleAt(caller, () => this.#start());
    }
    this.#clock.runUntil(durationMs);
    return {
      finishedPerSecond: (this.#finished * 1_000) / (durationMs * (1 - WARM_UP_SHARE)),
      firstTokenP95Ms: percentile95(this.#firstToken),
      betweenTokensP95Ms: percentile95(this.#betweenTokens),
    };
  }

  #engine({ role, accelerator }: HandOverScenario['engines'][number], place: number): Engine {
    const name = `engine-${place}`;
    const models = [{ model: MODEL, version: 'v1', adapters: [] }];
    const seed = this.#scenario.seed * 1_000 + place;
    const model = new EngineModel({ name, boot: name, role, models, accelerator, seed }, 0);
    return { role, model, speed: accelerator === 'new' ? 2.5 : 1, assigned: 0, scheduledFor: -1 };
  }

  /** Sends a request to the least loaded prefill or mixed engine. */
  #start(): void {
    const { promptTokens, outputTokens } = this.#scenario;
    const engine = leastAssigned([...this.#prefillEngines, ...this.#mixedEngines()]);
    if (engine === undefined) {
      return;
    }
    this.#started += 1;
    const request: Request = {
      id: `r${this.#started}`,
      promptTokens: this.#spread(promptTokens),
      outputTokens: this.#spread(outputTokens),
      startedAt: this.#clock.now,
      engine,
      lastTokenAt: null,
    };
    this.#requests.set(request.id, request);
    this.#submit(request, engine, null);
  }

  #mixedEngines(): Engine[] {
    return this.#decodingEngines.filter((engine) => engine.role === 'mixed');
  }

  #spread(tokens: number): number {
    const factor = 1 + TOKEN_COUNT_SPREAD * (2 * this.#random.unit() - 1);
    return Math.max(1, Math.round(tokens * factor));
  }

  #submit(request: Request, engine: Engine, kvHandle: string | null): void {
    const { id, promptTokens: tokens, outputTokens: maxTokens } = request;
    const completion = { kind: 'completion', streamed: true, maxTokens, resumeOffset: 0 } as const;
    const isPrefill = engine.role === 'prefill';
    request.engine = engine;
    if (kvHandle === null) {
      engine.assigned += 1;
    }
    engine.model.submit(this.#clock.now, {
      attempt: id,
      priority: 0,
      name: MODEL,
      version: null,
      describe: () => ({ tokens, digest: EMPTY_HASH, blockHashes: [] }),
      work: isPrefill ? { kind: 'prefill' } : { ...completion, kvHandle },
    });
    this.#schedule(engine);
  }

  #schedule(engine: Engine): void {
    scheduleSteps(this.#clock, engine, (output) => this.#onOutput(engine, output));
  }

  #onOutput(engine: Engine, output: EngineOutput): void {
    const request = 'attempt' in output ? this.#requests.get(output.attempt) : undefined;
    if (request === undefined) {
      return;
    }
    if (output.kind === 'token') {
      this.#recordToken(request);
    } else if (output.kind === 'prefilled') {
      engine.assigned -= 1;
      this.#handOver(request, engine, output.kvHandle);
    } else if (output.kind === 'finished') {
      engine.assigned -= 1;
      this.#requests.delete(request.id);
      this.#finished += this.#isWarm() ? 1 : 0;
      this.#start();
    }
  }

  #handOver(request: Request, from: Engine, handle: string): void {
    const held = from.model.exportKv(this.#clock.now, handle);
    const to = leastAssigned(this.#decodingEngines);
    if (held === null || to === undefined) {
      return;
    }
    to.assigned += 1;
    const arrivesAt = this.#clock.now + from.model.kvTransferMs(held);
    this.#clock.scheduleAt(arrivesAt, () => this.#import(request, to, held));
  }

  #import(request: Request, to: Engine, held: Parameters<EngineModel['importKv']>[1]): void {
    const handle = to.model.importKv(this.#clock.now, held);
    if (handle === null) {
      this.#clock.scheduleAt(this.#clock.now + IMPORT_RETRY_MS, () =>
        this.#import(request, to, held),
      );
      return;
    }
    this.#submit(request, to, handle);
  }

  #recordToken(request: Request): void {
    const now = this.#clock.now;
    if (this.#isWarm()) {
      if (request.lastTokenAt === null) {
        this.#firstToken.push(now - request.startedAt);
      } else {
        this.#betweenTokens.push(now - request.lastTokenAt);
      }
    }
    request.lastTokenAt = now;
  }

  #isWarm(): boolean {
    return this.#clock.now >= this.#scenario.durationMs * WARM_UP_SHARE;
  }
}

function leastAssigned(engines: readonly Engine[]): Engine | undefined {
  let best: Engine | undefined;
  for (const engine of engines) {
    if (best === undefined || engine.assigned / engine.speed < best.assigned / best.speed) {
      best = engine;
    }
  }
  return best;
}

function percentile95(values: number[]): number {
  values.sort((left, right) => left - right);
  return Math.round(values[Math.floor(values.length * 0.95)] ?? Number.NaN);
}
