/**
 * An oracle that checks everything that callers, engines and operators of a simulated fleet see
 * against the promises of docs/INVARIANTS.md. It does not depend on how threadfork works.
 */
import type { AttemptId, BackendName, DaemonName, OrderId } from '../../core/common/identifiers.js';
import type { ChangeOutcome } from '../../core/configuration/index.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import { expectedTokens } from '../engine/index.js';
import type { CallerOutcome, FleetObserver, IssuedRequest } from './observer.js';

/** The name of a broken promise. */
export type BrokenPromise =
  | 'conflicting-orders'
  | 'planned-change-cut'
  | 'deposed-order'
  | 'foreign-or-partial-answer'
  | 'refusal-untrue'
  | 'ran-more-than-once'
  | 'work-after-leave'
  | 'configuration-reverted'
  | 'no-final-answer';

/** One broken promise, with the event that broke it. */
export interface Violation {
  readonly promise: BrokenPromise;
  readonly at: number;
  readonly detail: string;
}

/** What an oracle reads from the fleet that it observes. */
export interface OracleEnvironment {
  now(): number;
  /** The epoch that the table holds for the lease behind an engine's orders. */
  storedEpoch(engine: BackendName): number;
  /** The order that the engine's intent row names; null when there is none. */
  intendedOrder(engine: BackendName): OrderId | null;
}

/** How long after an engine's leave became known it may still be given work. */
const LEAVE_LIMIT_MS = 3_000;

/** The versions that a correct answer may come from. */
export interface KnownVersions {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}

/** Versions that the fuzzed configurations name. */
const FUZZED_VERSIONS: KnownVersions = { models: ['v1', 'v2', 'v3'], adapters: ['v1'] };

interface RequestRecord {
  readonly issued: IssuedRequest;
  accepted: number;
  outcome: CallerOutcome | null;
}

/** Counts of the outcomes that callers saw. */
export interface OutcomeCounts {
  answered: number;
  refusedNotRun: number;
  unknown: number;
  disconnected: number;
  unreachable: number;
  replayed: number;
}

/** Checks the promises and collects violations. */
export class Oracle implements FleetObserver {
  readonly violations: Violation[] = [];
  readonly counts: OutcomeCounts = {
    answered: 0,
    refusedNotRun: 0,
    unknown: 0,
    disconnected: 0,
    unreachable: 0,
    replayed: 0,
  };
  ordersRun = 0;
  readonly #requests = new Map<string, RequestRecord>();
  readonly #acceptedByKey = new Map<string, number>();
  readonly #running = new Map<BackendName, OrderId>();
  readonly #versions = new Map<DaemonName, number>();
  readonly #leavingSince = new Map<BackendName, number>();
  readonly #known: KnownVersions;
  #promisedVersion = 0;
  #environment: OracleEnvironment | null = null;

  constructor(known: KnownVersions = FUZZED_VERSIONS) {
    this.#known = known;
  }

  /** Connects the oracle to the fleet; call it before the simulation runs. */
  attach(environment: OracleEnvironment): void {
    this.#environment = environment;
  }

  /** Records that an engine reports that it is leaving, or no longer does. */
  setLeaving(engine: BackendName, leaving: boolean): void {
    if (leaving) {
      this.#leavingSince.set(engine, this.#now());
    } else {
      this.#leavingSince.delete(engine);
    }
  }

  requestIssued(request: IssuedRequest): void {
    this.#requests.set(request.description.id, {
      issued: request,
      accepted: 0,
      outcome: null,
    });
  }

  requestEnded(request: IssuedRequest, outcome: CallerOutcome): void {
    const record = this.#requests.get(request.description.id);
    if (record === undefined) {
      return;
    }
    record.outcome = outcome;
    this.#count(outcome);
    this.#judgeAnswer(record, outcome);
  }

  attemptAccepted(engine: BackendName, attempt: AttemptId): void {
    const record = this.#requests.get(requestOf(attempt));
    const since = this.#leavingSince.get(engine);
    if (since !== undefined && this.#now() > since + LEAVE_LIMIT_MS) {
      this.#report('work-after-leave', `${engine} was given ${attempt} after its leave`);
    }
    if (record === undefined) {
      return;
    }
    record.accepted += 1;
    if (!record.issued.description.repeatable) {
      this.#judgeRuns(record, attempt);
    }
    if (isNotRun(record.outcome)) {
      this.#report('refusal-untrue', `${attempt} ran after its caller got "not run"`);
    }
  }

  attemptCut(engine: BackendName, attempt: AttemptId): void {
    this.#report('planned-change-cut', `an order to ${engine} cut ${attempt}`);
  }

  orderAnswered(order: Order, answer: OrderAnswer): void {
    if (answer.kind !== 'accepted' || order.action.kind === 'hold') {
      return;
    }
    this.ordersRun += 1;
    const running = this.#running.get(order.engine);
    if (running !== undefined && running !== order.id) {
      this.#report('conflicting-orders', `${order.engine} took ${order.id} during ${running}`);
    }
    if (answer.state === 'running') {
      this.#running.set(order.engine, order.id);
    }
    this.#judgeAuthority(order);
  }

  orderEnded(engine: BackendName, order: OrderId): void {
    if (this.#running.get(engine) === order) {
      this.#running.delete(engine);
    }
  }

  /** Records a crash: the engine's order is lost, and its next boot does not report that it leaves. */
  engineCrashed(engine: BackendName): void {
    this.#running.delete(engine);
    this.#leavingSince.delete(engine);
  }

  /**
   * Forgets the daemon's version: a new incarnation may start with any version that is not lower than
   * the highest one that an operator saw applied. A higher version that was recorded but not yet
   * applied may be unreachable for a daemon that starts while the store is down.
   */
  daemonStarted(daemon: DaemonName): void {
    this.#versions.delete(daemon);
  }

  configurationInForce(daemon: DaemonName, version: number): void {
    const known = this.#versions.get(daemon) ?? 0;
    if (version < Math.max(known, this.#promisedVersion)) {
      this.#report(
        'configuration-reverted',
        `${daemon} put version ${version} in force after ${known}; version ${this.#promisedVersion} was reported as applied`,
      );
    }
    this.#versions.set(daemon, Math.max(known, version));
  }

  changeAnswered(_daemon: DaemonName, outcome: ChangeOutcome): void {
    if (outcome.kind === 'applied') {
      this.#promisedVersion = Math.max(this.#promisedVersion, outcome.version);
    }
  }

  /** Checks that every request has its final answer; call it after all faults have healed and settled. */
  checkAllAnswered(): void {
    for (const { issued, outcome } of this.#requests.values()) {
      if (outcome === null) {
        this.#report('no-final-answer', `${issued.description.id} was never answered`);
      }
    }
  }

  #count(outcome: CallerOutcome): void {
    switch (outcome.kind) {
      case 'answered':
        this.counts.answered += 1;
        break;
      case 'failed':
        if (isNotRun(outcome)) this.counts.refusedNotRun += 1;
        else this.counts.unknown += 1;
        break;
      case 'disconnected':
        this.counts.disconnected += 1;
        break;
      case 'unreachable':
        this.counts.unreachable += 1;
        break;
      case 'replayed':
        this.counts.replayed += 1;
        break;
    }
  }

  #judgeAnswer(record: RequestRecord, outcome: CallerOutcome): void {
    if (isNotRun(outcome) && record.accepted > 0) {
      this.#report(
        'refusal-untrue',
        `${record.issued.description.id} was refused as not run after ${record.accepted} attempts ran`,
      );
    }
    if (outcome.kind === 'replayed' || outcome.kind === 'unreachable') {
      return;
    }
    const complete = outcome.kind === 'answered';
    if (!isPrefixOfSomeVersion(record.issued, outcome.tokens, complete, this.#known)) {
      const received = outcome.tokens.length;
      const { id } = record.issued.description;
      this.#report(
        'foreign-or-partial-answer',
        `${id} got ${received} tokens that are not its answer`,
      );
    }
  }

  /** Counts runs by idempotency key, or by request when there is no key. */
  #judgeRuns(record: RequestRecord, attempt: AttemptId): void {
    const { id, tenant, idempotencyKey } = record.issued.description;
    const key = idempotencyKey === null ? id : `${tenant}/${idempotencyKey}`;
    const runs = (this.#acceptedByKey.get(key) ?? 0) + 1;
    this.#acceptedByKey.set(key, runs);
    if (runs > 1) {
      this.#report('ran-more-than-once', `${key} ran again as ${attempt}`);
    }
  }

  /**
   * An engine may accept an order of an earlier epoch only if the current lease holder has adopted it,
   * that is, if the engine's intent row names the order.
   */
  #judgeAuthority(order: Order): void {
    const environment = this.#environment;
    if (environment === null) {
      return;
    }
    const intended = environment.intendedOrder(order.engine);
    const epoch = environment.storedEpoch(order.engine);
    if (order.fence.epoch < epoch && intended !== order.id) {
      this.#report(
        'deposed-order',
        `${order.id} of epoch ${order.fence.epoch} ran in epoch ${epoch}`,
      );
    }
  }

  #report(promise: BrokenPromise, detail: string): void {
    this.violations.push({ promise, at: this.#now(), detail });
  }

  #now(): number {
    return this.#environment?.now() ?? 0;
  }
}

function requestOf(attempt: AttemptId): string {
  return attempt.slice(0, attempt.lastIndexOf('.'));
}

function isNotRun(outcome: CallerOutcome | null): boolean {
  if (outcome === null) return false;
  if (outcome.kind === 'unreachable') return true;
  return outcome.kind === 'failed' && outcome.fault.outcome === 'refused-not-run';
}

function isPrefixOfSomeVersion(
  issued: IssuedRequest,
  tokens: readonly string[],
  complete: boolean,
  known: KnownVersions,
): boolean {
  const { target } = issued.description;
  if (target.kind !== 'model' || (complete && tokens.length !== issued.outputTokens)) {
    return false;
  }
  const { model, adapter } = target;
  const { prompt } = issued;
  const versions =
    adapter === null
      ? known.models
      : known.models.flatMap((version) => known.adapters.map((other) => `${version}+${other}`));
  return versions.some((version) => {
    const expected = expectedTokens({ model, adapter, version, prompt, count: tokens.length });
    return tokens.every((token, offset) => token === expected[offset]);
  });
}
