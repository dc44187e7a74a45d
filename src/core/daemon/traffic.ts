/**
 * A daemon's request path: the requests in flight, admission and routing over the current view of
 * the fleet. It is on the hot path, so the reducer updates it in place. It reads no clock.
 */
import { AdmissionQueue } from '../admission/index.js';
import type {
  BackendName,
  DaemonName,
  Incarnation,
  PoolName,
  VersionName,
  ZoneName,
} from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { StepContext } from '../common/transition.js';
import type { VersionedConfiguration } from '../configuration/document.js';
import {
  hasIncarnationEnded,
  knowsIncarnation,
  type MembershipState,
} from '../membership/index.js';
import { type EngineView, type Machine, poolOf } from '../registry/backend.js';
import {
  GRANT_LAPSED,
  type RequestDescription,
  type RequestNotice,
  RequestTable,
  type RequestTableContext,
  type RequestTableEffect,
  type RequestTableEvent,
  type RouteChoice,
} from '../requests/index.js';
import {
  chooseEngine,
  chooseWebBackend,
  expectedFinish,
  FleetIndex,
  type ModelTarget,
  OutlierTracker,
  OutstandingTable,
  PrefixIndex,
  type RoutingDecision,
  type RoutingPolicy,
  type WebDecision,
} from '../routing/index.js';
import { DecisionLog } from './decision-log.js';
import { DemandMeter } from './demand-meter.js';

/** Identity of the routing daemon and its initial view of the other daemons. */
export interface TrafficOptions {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly maxWaitingPerClass: number;
  readonly membership: MembershipState;
}

interface DaemonIncarnation {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
}

/** The `retry-after` value while the speed of a queue is not known yet. */
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 1_000;
/** The engine priority of a class that is not in the configuration. */
const LOWEST_PRIORITY = 9;

/** Restrictions on the backends that a request may use. */
interface ChoiceConstraints {
  readonly excluded: readonly BackendName[];
  /** The model version that produced the output already sent to the caller, or null. */
  readonly version: VersionName | null;
}

const NO_CONSTRAINTS: ChoiceConstraints = { excluded: [], version: null };

/** The request path of one daemon. */
export class Traffic {
  readonly index = new FleetIndex();
  readonly requests = new RequestTable();
  readonly admission: AdmissionQueue;
  readonly outstanding = new OutstandingTable();
  readonly decisions = new DecisionLog();
  readonly demand = new DemandMeter();
  readonly #options: TrafficOptions;
  readonly #outliers = new OutlierTracker();
  readonly #prefixes = new PrefixIndex();
  readonly #policy: RoutingPolicy = expectedFinish();
  readonly #unhealthyWeb = new Set<BackendName>();
  #unknownIncarnations: DaemonIncarnation[] = [];
  #membership: MembershipState;

  constructor(options: TrafficOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.admission = new AdmissionQueue({ maxWaitingPerClass: options.maxWaitingPerClass });
  }

  /** Applies one event of the request path; returns the effects in the order to carry them out. */
  step(event: RequestTableEvent, context: StepContext): RequestTableEffect[] {
    const effects = this.#stepRequests(event, context);
    const mayFreeCapacity = event.kind !== 'request-arrived';
    return mayFreeCapacity ? [...effects, ...this.admitWaiting(context)] : effects;
  }

  /**
   * Admits waiting requests while backends have capacity. Call when capacity may have become free.
   */
  admitWaiting(context: StepContext): RequestTableEffect[] {
    const effects: RequestTableEffect[] = [];
    for (;;) {
      const next = this.admission.next(context.now, (request) =>
        this.#hasCapacity(request, context),
      );
      if (next === null) {
        return effects;
      }
      effects.push(...this.#stepRequests({ kind: 'admitted', request: next.id }, context));
    }
  }

  setMachines(machines: readonly Machine[]): void {
    this.index.setMachines(machines);
    const names = new Set(machines.map((machine) => machine.name));
    this.outstanding.retain((backend) => names.has(backend));
    this.#outliers.retain((backend) => names.has(backend));
  }

  /** Replaces the view of an engine. The prefix index of an engine that has rebooted is dropped. */
  setView(view: EngineView): void {
    const before = this.index.engine(view.machine.name)?.report?.boot;
    if (before !== undefined && before !== view.report?.boot) {
      this.#prefixes.forget(view.machine.name);
    }
    this.index.setView(view);
  }

  setMembership(membership: MembershipState): void {
    this.#membership = membership;
  }

  /** Incarnations named by claims since the last call that membership did not know. */
  takeUnknownIncarnations(): readonly DaemonIncarnation[] {
    const incarnations = this.#unknownIncarnations;
    if (incarnations.length > 0) {
      this.#unknownIncarnations = [];
    }
    return incarnations;
  }

  configure(configuration: VersionedConfiguration): void {
    this.index.setConfiguration(configuration);
    this.admission.configure(configuration.document);
  }

  setWebHealth(backend: BackendName, healthy: boolean): void {
    if (healthy) {
      this.#unhealthyWeb.delete(backend);
    } else {
      this.#unhealthyWeb.add(backend);
    }
  }

  /** Routes like a request to a model and returns every candidate's score, but sends nothing. */
  explainTarget(target: ModelTarget, context: StepContext): RoutingDecision {
    return this.#chooseEngine(target, NO_CONSTRAINTS, context, true);
  }

  #stepRequests(event: RequestTableEvent, context: StepContext): RequestTableEffect[] {
    const effects = this.requests.step(event, this.#contextOf(context));
    for (const effect of effects) {
      this.#recordEffect(effect, context.now);
    }
    return [...effects];
  }

  #contextOf(context: StepContext): RequestTableContext {
    return {
      now: context.now,
      entropy: context.entropy,
      daemon: this.#options.daemon,
      incarnation: this.#options.incarnation,
      choose: (description, excluded, version) =>
        this.#choose(description, { excluded, version }, context),
      priorityOf: (className) =>
        this.index.configuration.classes[className]?.priority ?? LOWEST_PRIORITY,
      retryAfterMs: (description) =>
        this.admission.expectedWaitMs(description) ?? DEFAULT_RETRY_AFTER_MS,
      hasIncarnationEnded: (daemon, incarnation) => this.#hasIncarnationEnded(daemon, incarnation),
    };
  }

  #hasIncarnationEnded(daemon: DaemonName, incarnation: Incarnation): boolean {
    if (!knowsIncarnation(this.#membership, daemon, incarnation)) {
      this.#unknownIncarnations.push({ daemon, incarnation });
    }
    return hasIncarnationEnded(this.#membership, daemon, incarnation);
  }

  #choose(
    description: RequestDescription,
    constraints: ChoiceConstraints,
    context: StepContext,
  ): RouteChoice {
    const decision = this.#decide(description, constraints, context);
    this.decisions.record(description, decision);
    if (decision.kind === 'none') {
      return { kind: 'refuse', fault: decision.fault };
    }
    const hasCapacity = decision.kind === 'chosen';
    const answer = this.admission.offer(description, { now: context.now, hasCapacity });
    if (answer.kind === 'refused') {
      return { kind: 'refuse', fault: answer.fault };
    }
    if (answer.kind === 'queued' || decision.kind !== 'chosen') {
      return { kind: 'wait' };
    }
    const { address, port } = decision;
    if (!('engine' in decision)) {
      return { kind: 'dispatch', backend: decision.backend, address, port };
    }
    const backend = decision.engine;
    // An engine that is no longer known has no grant.
    const sendBefore = this.index.engine(backend)?.grantedUntil ?? Number.NEGATIVE_INFINITY;
    return { kind: 'dispatch', backend, address, port, sendBefore };
  }

  #hasCapacity(description: RequestDescription, context: StepContext): boolean {
    const constraints = this.requests.get(description.id) ?? NO_CONSTRAINTS;
    // A request without any backend left is admitted too: it then gets its final answer.
    return this.#decide(description, constraints, context).kind !== 'full';
  }

  #decide(
    description: RequestDescription,
    constraints: ChoiceConstraints,
    context: StepContext,
  ): RoutingDecision | WebDecision {
    const { target } = description;
    if (target.kind === 'model') {
      return this.#chooseEngine(target, constraints, context, false);
    }
    return chooseWebBackend({
      index: this.index,
      service: target.service,
      excluded: new Set(constraints.excluded),
      unhealthy: this.#unhealthyWeb,
      zone: this.#options.zone,
      outstanding: this.outstanding,
      outliers: this.#outliers,
      context,
    });
  }

  #chooseEngine(
    target: ModelTarget,
    constraints: ChoiceConstraints,
    context: StepContext,
    explain: boolean,
  ): RoutingDecision {
    return chooseEngine({
      index: this.index,
      target,
      excluded: new Set(constraints.excluded),
      zone: this.#options.zone,
      outstanding: this.outstanding,
      outliers: this.#outliers,
      prefixes: this.#prefixes,
      context,
      policy: this.#policy,
      version: constraints.version,
      explain,
    });
  }

  /** Updates the state of routing, admission and demand from an effect of the request table. */
  #recordEffect(effect: RequestTableEffect, now: MonotonicMs): void {
    if (isNotice(effect)) {
      this.demand.recordNotice(effect, (backend) => this.#poolOf(backend));
    }
    switch (effect.kind) {
      case 'attempt-started':
        this.#recordAttemptStart(effect, now);
        break;
      case 'attempt-ended':
        this.#recordAttemptEnd(effect, now);
        break;
      case 'request-ended':
        this.#recordRequestEnd(effect, now);
        break;
      default:
        break;
    }
  }

  #poolOf(backend: BackendName): PoolName | null {
    const machine = this.index.engine(backend)?.machine;
    return machine === undefined ? null : poolOf(machine);
  }

  #recordAttemptStart(
    notice: Extract<RequestNotice, { kind: 'attempt-started' }>,
    now: MonotonicMs,
  ): void {
    const { target } = notice.description;
    const promptTokens = target.kind === 'model' ? target.promptTokens : 0;
    const { attempt, backend } = notice;
    this.outstanding.recordStart({ attempt, backend, promptTokens, at: now });
    if (target.kind === 'model') {
      this.#prefixes.recordDispatch(backend, target.prefixHashes);
    }
  }

  #recordAttemptEnd(
    notice: Extract<RequestNotice, { kind: 'attempt-ended' }>,
    now: MonotonicMs,
  ): void {
    this.outstanding.recordEnd(notice.attempt, now);
    if (notice.result === 'completed') {
      this.#outliers.recordSuccess(notice.backend);
    }
    // An expired grant is no failure of the engine: this daemon was too slow to send in time.
    const isFailure = notice.result === 'not-sent' && notice.reason !== GRANT_LAPSED;
    if (notice.result === 'broken' || isFailure) {
      this.#outliers.recordFailure(notice.backend, now);
    }
  }

  #recordRequestEnd(
    notice: Extract<RequestNotice, { kind: 'request-ended' }>,
    now: MonotonicMs,
  ): void {
    const { promptTokens, outputTokens } = notice;
    if (notice.result === 'answered') {
      this.admission.recordFinished(notice.description.id, { promptTokens, outputTokens });
    }
    this.admission.remove(notice.description.id, now);
    this.decisions.recordEnd(notice);
  }
}

function isNotice(effect: RequestTableEffect): effect is RequestNotice {
  const { kind } = effect;
  return kind === 'attempt-started' || kind === 'attempt-ended' || kind === 'request-ended';
}
