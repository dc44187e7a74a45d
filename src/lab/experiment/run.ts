/** Runs a scenario in virtual time. Equal options give byte-identical results. */
import type { Milliseconds } from '../../core/common/time.js';
import type { ConfigurationDocument } from '../../core/configuration/document.js';
import { resourceOfPool } from '../../core/controller/index.js';
import { epochKey } from '../../core/lease/index.js';
import { type IntentRow, intentKey } from '../../core/orders/index.js';
import { DEFAULT_POOL, type EngineReport } from '../../core/registry/backend.js';
import { Oracle, SimulatedFleet } from '../simulation/index.js';
import {
  type Arrival,
  arrivals,
  Random,
  type Workload,
  withScaledDurations,
} from '../workload/index.js';
import { engineModels, fleetEngines } from './engines.js';
import { Measurements } from './measurements.js';
import type { PolicyEngine, RolePolicy, Roles } from './policy.js';
import { RequestFactory } from './requests.js';
import type { ExperimentResult } from './result.js';
import type { Scenario } from './scenario-file.js';
import { RunTimeSeries } from './time-series.js';

/** The options of a run. */
export interface ExperimentOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly policy: RolePolicy;
  /** The factor by which the durations of phases are multiplied; 1 when absent. */
  readonly stretch?: number;
}

const MS_PER_SECOND = 1_000;
/** Time to discover daemons and engines; waited before and again after the configuration is set. */
const WARM_UP_MS = 4_000;
/** How often a policy decides and a point of the time series is recorded. */
const DECISION_INTERVAL_MS = 5_000;
/** The maximum wait for answers after the last request. */
const MAX_SETTLE_MS = 900_000;
/** Random stream of the callers' choices of daemons, separate from the workload's. */
const CALLER_RANDOM_STREAM = 7_000;

/** Runs a scenario. */
export function runExperiment(options: ExperimentOptions): ExperimentResult {
  return new Experiment(options).run();
}

class Experiment {
  readonly #options: ExperimentOptions;
  readonly #workload: Workload;
  readonly #engines: readonly PolicyEngine[];
  readonly #fleet: SimulatedFleet;
  readonly #measurements: Measurements;
  readonly #timeSeries: RunTimeSeries;
  readonly #requests: RequestFactory;
  readonly #document: ConfigurationDocument;
  readonly #callerRandom: Random;
  #roles: Roles;
  #changes = 0;
  #startedAt = 0;
  #changesAtStart = 0;

  constructor(options: ExperimentOptions) {
    const { scenario, seed, policy } = options;
    const { definition, configuration } = scenario.fleet;
    this.#options = options;
    this.#workload = withScaledDurations(
      { ...scenario.definition.workload, seed },
      options.stretch ?? 1,
    );
    this.#engines = definition.engines;
    const initial = policy.initialRoles(this.#engines);
    this.#roles = initial ?? new Map();
    this.#document = withRoles(configuration, initial);
    this.#requests = new RequestFactory(configuration);
    this.#callerRandom = new Random(seed, CALLER_RANDOM_STREAM);
    const oracle = new Oracle(knownVersions(scenario));
    this.#measurements = new Measurements(oracle, () => this.#fleet.clock.now);
    this.#fleet = new SimulatedFleet(
      { seed, daemons: definition.daemons, engines: fleetEngines(scenario, this.#roles) },
      this.#measurements,
    );
    this.#timeSeries = new RunTimeSeries(this.#fleet, this.#measurements);
    oracle.attach({
      now: () => this.#fleet.clock.now,
      storedEpoch: () => this.#epoch(),
      intendedOrder: (engine) => this.#intendedOrder(engine),
    });
  }

  run(): ExperimentResult {
    this.#warmUp();
    const durationMs = this.#workload.phases.reduce((sum, phase) => sum + phase.durationMs, 0);
    this.#startedAt = this.#fleet.clock.now;
    this.#changesAtStart = this.#measurements.roleChanges;
    this.#measurements.setEndOfSending(this.#startedAt + durationMs);
    this.#scheduleArrivals();
    for (let atMs = 0; atMs < durationMs; atMs += DECISION_INTERVAL_MS) {
      this.#fleet.run(Math.min(DECISION_INTERVAL_MS, durationMs - atMs));
      this.#decide(this.#elapsed());
    }
    const roleChanges = this.#measurements.roleChanges - this.#changesAtStart;
    this.#settle();
    return this.#result(durationMs, roleChanges);
  }

  #warmUp(): void {
    const [first] = this.#fleet.daemons();
    this.#fleet.run(WARM_UP_MS);
    if (first !== undefined) {
      this.#fleet.putDocument(first, 'initial', this.#document, () => {});
    }
    this.#fleet.run(WARM_UP_MS);
  }

  #scheduleArrivals(): void {
    const pending = arrivals(this.#workload);
    const scheduleNext = (): void => {
      const next = pending.next();
      if (next.done === true) return;
      this.#fleet.clock.scheduleAt(this.#startedAt + next.value.atMs, () => {
        this.#send(next.value);
        scheduleNext();
      });
    };
    scheduleNext();
  }

  #send(arrival: Arrival): void {
    if (arrival.request.kind !== 'model') return;
    const daemons = this.#fleet.daemons();
    const daemon = daemons[this.#callerRandom.integer(0, daemons.length - 1)];
    if (daemon === undefined) return;
    const issued = this.#requests.request(arrival, arrival.request, this.#fleet.clock.now);
    this.#fleet.callers.send(issued, daemon, null);
  }

  #decide(atMs: Milliseconds): void {
    const reports = this.#reports();
    const { arrivedPromptTokens, arrivedOutputTokens } = this.#timeSeries.recordPoint(
      atMs,
      reports,
    );
    const { policy } = this.#options;
    const observation = { atMs, reports, arrivedPromptTokens, arrivedOutputTokens };
    const wanted = policy.decide?.(this.#engines, observation);
    if (wanted !== undefined) this.#setRoles(wanted);
  }

  /** Sets roles by an operator command, so the controller drains each engine before its role change. */
  #setRoles(wanted: Roles): void {
    const commands = [...wanted]
      .filter(([engine, role]) => this.#roles.get(engine) !== role)
      .map(([engine, role]) => `ask role ${role} for ${engine}`);
    const daemon = this.#fleet.daemons().find(({ isUp }) => isUp);
    if (commands.length === 0 || daemon === undefined) return;
    this.#changes += 1;
    this.#fleet.command(
      daemon,
      `roles-${this.#changes}`,
      `begin; ${commands.join('; ')}; commit`,
      (outcome) => {
        if (outcome.kind === 'applied') this.#roles = wanted;
      },
    );
  }

  #settle(): void {
    const until = this.#fleet.clock.now + MAX_SETTLE_MS;
    while (this.#measurements.open > 0 && this.#fleet.clock.now < until) {
      this.#fleet.run(MS_PER_SECOND);
    }
  }

  #reports(): readonly EngineReport[] {
    return this.#fleet
      .engines()
      .map((engine) => engine.report())
      .filter((report) => report !== null);
  }

  #elapsed(): Milliseconds {
    return this.#fleet.clock.now - this.#startedAt;
  }

  #result(durationMs: Milliseconds, roleChanges: number): ExperimentResult {
    const measured = this.#measurements;
    const { finished, refused, unknown, cut, wrong } = measured.endings;
    return {
      scenario: this.#workload.name,
      policy: this.#options.policy.name,
      seed: this.#options.seed,
      duration_s: durationMs / MS_PER_SECOND,
      sent: measured.sent,
      offered: measured.offered(durationMs),
      goodput: measured.goodput(durationMs),
      role_changes: roleChanges,
      shifts: this.#options.scenario.definition.shifts,
      finished,
      refused,
      unknown: unknown + measured.open,
      cut: cut + measured.plannedCuts,
      wrong,
      violations: measured.otherViolations(),
      first_token: measured.firstTokens.percentiles(),
      between_tokens: measured.tokenGaps.percentiles(),
      queues: this.#timeSeries.queues(),
      codes: measured.codes,
      course: this.#timeSeries.points,
    };
  }

  #epoch(): number {
    const [row] = this.#fleet.platform.model.table.get([epochKey(resourceOfPool(DEFAULT_POOL))]);
    const value = row?.value as { readonly epoch: number } | null | undefined;
    return value?.epoch ?? 0;
  }

  #intendedOrder(engine: string): string | null {
    const [row] = this.#fleet.platform.model.table.get([intentKey(engine)]);
    const value = row?.value as IntentRow | null | undefined;
    return value?.orderId ?? null;
  }
}

function withRoles(document: ConfigurationDocument, roles: Roles | null): ConfigurationDocument {
  if (roles === null) return document;
  const backends = [...roles].map(([name, role]) => [name, { drained: false, role }] as const);
  return { ...document, backends: Object.fromEntries(backends) };
}

function knownVersions(scenario: Scenario) {
  const models = engineModels(scenario);
  return {
    models: models.map(({ version }) => version),
    adapters: models.flatMap(({ adapters }) => adapters.map(({ version }) => version)),
  };
}
