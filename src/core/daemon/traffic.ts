/**
 * A daemon's request path: the requests in flight, admission and routing over what is known of the
 * fleet. One hot container that the fold updates in place; it reads no clock.
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

/** Who routes, and what it asks about others. */
export interface TrafficOptions {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly zone: ZoneName;
  readonly maxWaitingPerClass: number;
  readonly membership: MembershipState;
}

/** One life of a daemon. */
interface DaemonLife {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
}

/** The retry advice before anything is known of the speed of a queue. */
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 1_000;
/** The engine priority of a class that the configuration does not state. */
const LOWEST_PRIORITY = 9;

/** What narrows a request's choice of backends. */
interface ChoiceLimits {
  readonly excluded: readonly BackendName[];
  /** The version that wrote what the caller has had, or null. */
  readonly version: VersionName | null;
}

const NO_LIMITS: ChoiceLimits = { excluded: [], version: null };

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
  #unknownLives: DaemonLife[] = [];
  #membership: MembershipState;

  constructor(options: TrafficOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.admission = new AdmissionQueue({ maxWaitingPerClass: options.maxWaitingPerClass });
  }

  /** Takes one event of the request path; gives the effects to carry out in order. */
  step(event: RequestTableEvent, context: StepContext): RequestTableEffect[] {
    const effects = this.#feed(event, context);
    const freed = event.kind !== 'request-arrived';
    return freed ? [...effects, ...this.admitWaiting(context)] : effects;
  }

  /** Lets waiting requests go while backends can take them. Call when capacity may have come free. */
  admitWaiting(context: StepContext): RequestTableEffect[] {
    const effects: RequestTableEffect[] = [];
    for (;;) {
      const next = this.admission.next(context.now, (request) => this.#hasRoom(request, context));
      if (next === null) {
        return effects;
      }
      effects.push(...this.#feed({ kind: 'admitted', request: next.id }, context));
    }
  }

  /** Takes over a machine list. */
  setMachines(machines: readonly Machine[]): void {
    this.index.setMachines(machines);
    const names = new Set(machines.map((machine) => machine.name));
    this.outstanding.retain((backend) => names.has(backend));
    this.#outliers.retain((backend) => names.has(backend));
  }

  /** Takes over what is known of an engine. */
  setView(view: EngineView): void {
    const before = this.index.engine(view.machine.name)?.report?.boot;
    if (before !== undefined && before !== view.report?.boot) {
      this.#prefixes.forget(view.machine.name);
    }
    this.index.setView(view);
  }

  /** Takes over which daemons there are. */
  setMembership(membership: MembershipState): void {
    this.#membership = membership;
  }

  /** The lives that claims have named and membership did not know, since the last call. */
  takeUnknownIncarnations(): readonly DaemonLife[] {
    const lives = this.#unknownLives;
    if (lives.length > 0) {
      this.#unknownLives = [];
    }
    return lives;
  }

  /** Takes over a configuration. */
  configure(configuration: VersionedConfiguration): void {
    this.index.setConfiguration(configuration);
    this.admission.configure(configuration.document);
  }

  /** Takes over the outcome of a web backend's health check. */
  setWebHealth(backend: BackendName, healthy: boolean): void {
    if (healthy) {
      this.#unhealthyWeb.delete(backend);
    } else {
      this.#unhealthyWeb.add(backend);
    }
  }

  /** Decides as for a request to a model, with every candidate's score, and sends nothing. */
  explainTarget(target: ModelTarget, context: StepContext): RoutingDecision {
    return this.#chooseEngine(target, NO_LIMITS, context, true);
  }

  #feed(event: RequestTableEvent, context: StepContext): RequestTableEffect[] {
    const effects = this.requests.step(event, this.#contextOf(context));
    for (const effect of effects) {
      this.#note(effect, context.now);
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
      hasIncarnationEnded: (daemon, incarnation) => this.#isGone(daemon, incarnation),
    };
  }

  #isGone(daemon: DaemonName, incarnation: Incarnation): boolean {
    if (!knowsIncarnation(this.#membership, daemon, incarnation)) {
      this.#unknownLives.push({ daemon, incarnation });
    }
    return hasIncarnationEnded(this.#membership, daemon, incarnation);
  }

  #choose(
    description: RequestDescription,
    limits: ChoiceLimits,
    context: StepContext,
  ): RouteChoice {
    const decision = this.#decide(description, limits, context);
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
    // What is no longer known is no longer granted.
    const sendBefore = this.index.engine(backend)?.grantedUntil ?? Number.NEGATIVE_INFINITY;
    return { kind: 'dispatch', backend, address, port, sendBefore };
  }

  #hasRoom(description: RequestDescription, context: StepContext): boolean {
    const limits = this.requests.get(description.id) ?? NO_LIMITS;
    // A request for which no backend is left goes too: its turn gives it its final answer.
    return this.#decide(description, limits, context).kind !== 'full';
  }

  #decide(
    description: RequestDescription,
    limits: ChoiceLimits,
    context: StepContext,
  ): RoutingDecision | WebDecision {
    const { target } = description;
    if (target.kind === 'model') {
      return this.#chooseEngine(target, limits, context, false);
    }
    return chooseWebBackend({
      index: this.index,
      service: target.service,
      excluded: new Set(limits.excluded),
      unhealthy: this.#unhealthyWeb,
      zone: this.#options.zone,
      outstanding: this.outstanding,
      outliers: this.#outliers,
      context,
    });
  }

  #chooseEngine(
    target: ModelTarget,
    limits: ChoiceLimits,
    context: StepContext,
    explain: boolean,
  ): RoutingDecision {
    return chooseEngine({
      index: this.index,
      target,
      excluded: new Set(limits.excluded),
      zone: this.#options.zone,
      outstanding: this.outstanding,
      outliers: this.#outliers,
      prefixes: this.#prefixes,
      context,
      policy: this.#policy,
      version: limits.version,
      explain,
    });
  }

  /** Keeps routing's and admission's books from what the request table has decided or seen. */
  #note(effect: RequestTableEffect, now: MonotonicMs): void {
    if (isNotice(effect)) {
      this.demand.recordNotice(effect, (backend) => this.#poolOf(backend));
    }
    switch (effect.kind) {
      case 'attempt-started':
        this.#noteStart(effect, now);
        break;
      case 'attempt-ended':
        this.#noteEnd(effect, now);
        break;
      case 'request-ended':
        this.#noteRequestEnd(effect, now);
        break;
      default:
        break;
    }
  }

  #poolOf(backend: BackendName): PoolName | null {
    const machine = this.index.engine(backend)?.machine;
    return machine === undefined ? null : poolOf(machine);
  }

  #noteStart(notice: Extract<RequestNotice, { kind: 'attempt-started' }>, now: MonotonicMs): void {
    const { target } = notice.description;
    const promptTokens = target.kind === 'model' ? target.promptTokens : 0;
    const { attempt, backend } = notice;
    this.outstanding.recordStart({ attempt, backend, promptTokens, at: now });
    if (target.kind === 'model') {
      this.#prefixes.recordDispatch(backend, target.prefixHashes);
    }
  }

  #noteEnd(notice: Extract<RequestNotice, { kind: 'attempt-ended' }>, now: MonotonicMs): void {
    this.outstanding.recordEnd(notice.attempt, now);
    if (notice.result === 'completed') {
      this.#outliers.recordSuccess(notice.backend);
    }
    // A lapsed grant says nothing against the engine: this daemon was slow, or busy.
    const isFailure = notice.result === 'not-sent' && notice.reason !== GRANT_LAPSED;
    if (notice.result === 'broken' || isFailure) {
      this.#outliers.recordFailure(notice.backend, now);
    }
  }

  #noteRequestEnd(
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
