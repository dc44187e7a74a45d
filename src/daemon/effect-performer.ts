/**
 * Carries out the effects that the reducer returns, over the network clients and servers of the daemon,
 * and emits the results as events.
 */

import type { Result } from 'neverthrow';
import type { BackendName } from '../core/common/identifiers.js';
import type { MonotonicMs } from '../core/common/time.js';
import type { ChangeAnswerEffect } from '../core/configuration/index.js';
import type { ControllerEffect } from '../core/controller/index.js';
import type { DaemonEffect, DaemonEvent, DaemonState } from '../core/daemon/index.js';
import type { Fault } from '../core/errors/fault.js';
import { authorityOf, maySendUnder } from '../core/lease/index.js';
import { ENTRY_EVENTS } from '../core/logging/catalogue/entries.js';
import type { Order, OrderAnswer } from '../core/orders/index.js';
import type { PeerEffect, PeerHeader } from '../core/peer/index.js';
import { UnreadableRows } from '../core/platform/unreadable-rows.js';
import {
  DEFAULT_POOL,
  type EngineReport,
  type Machine,
  poolOf,
  type WebMachine,
} from '../core/registry/backend.js';
import {
  type EngineControlClient,
  EngineReachability,
  type PollOutcome,
} from '../shell/engine/index.js';
import type { CallerServer } from '../shell/http/index.js';
import type { Logger } from '../shell/logging/index.js';
import type { Metrics } from '../shell/metrics/index.js';
import type { PeerTransport } from '../shell/peer/index.js';
import type { PlatformClient, UnusableMachine } from '../shell/platform/index.js';
import type { HealthClient } from './health-client.js';
import { performObjectCall } from './object-calls.js';

/** The I/O components of one daemon. */
export interface DaemonShells {
  readonly callers: CallerServer;
  readonly platform: PlatformClient;
  readonly engines: EngineControlClient;
  readonly peers: PeerTransport;
  readonly health: HealthClient;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Dependencies of an `EffectPerformer`. */
export interface PerformerOptions {
  readonly shells: DaemonShells;
  /** The latest state of the reducer. */
  state(): DaemonState;
  now(): MonotonicMs;
  emit(event: DaemonEvent): void;
  onChangeAnswer(effect: ChangeAnswerEffect): void;
  onStopReady(): void;
}

type OrderEffect = Extract<ControllerEffect, { kind: 'send-order' }>;
type QueryOrderEffect = Extract<ControllerEffect, { kind: 'query-order' }>;

/** Carries out effects. No call throws or rejects. */
export class EffectPerformer {
  readonly #options: PerformerOptions;
  readonly #reachability = new EngineReachability();
  readonly #unusable = new UnreadableRows();

  constructor(options: PerformerOptions) {
    this.#options = options;
  }

  /** Carries out one effect. */
  perform(effect: DaemonEffect): void {
    const { shells } = this.#options;
    switch (effect.kind) {
      case 'refuse':
      case 'abort':
        shells.metrics.recordFault(effect.fault);
        shells.callers.perform(effect);
        break;
      case 'dispatch':
      case 'cancel':
      case 'replay':
        shells.callers.perform(effect);
        break;
      case 'table':
        void this.#callTable(effect);
        break;
      case 'object':
        void this.#callObject(effect);
        break;
      case 'peer-send':
        this.#sendToPeer(effect);
        break;
      case 'ask-report':
        void this.#requestReport(effect);
        break;
      case 'send-order':
        void this.#sendOrder(effect);
        break;
      case 'query-order':
        void this.#queryOrder(effect);
        break;
      case 'list-machines':
        void this.#listMachines();
        break;
      case 'check-health':
        void this.#checkHealth(effect.machine);
        break;
      case 'change-answer':
        this.#options.onChangeAnswer(effect);
        break;
      case 'stop-ready':
        this.#options.onStopReady();
        break;
      case 'log':
        shells.logger.write(effect.event, effect.fields);
        break;
      case 'attempt-started':
      case 'attempt-ended':
      case 'request-ended':
        shells.metrics.recordRequestNotice(effect, this.#options.now());
        break;
      case 'configuration-in-force':
        break;
    }
  }

  async #callTable(effect: Extract<DaemonEffect, { kind: 'table' }>): Promise<void> {
    const result = await this.#options.shells.platform.table(effect.call);
    this.#options.shells.metrics.recordTableCall(effect.call, result);
    this.#options.emit({ kind: 'table-result', token: effect.token, result });
  }

  async #callObject(effect: Extract<DaemonEffect, { kind: 'object' }>): Promise<void> {
    const result = await performObjectCall(this.#options.shells.platform, effect.call);
    this.#options.emit({ kind: 'object-result', token: effect.token, result });
  }

  #sendToPeer(effect: PeerEffect): void {
    this.#options.shells.peers.send(effect, this.#peerHeader());
  }

  #peerHeader(): PeerHeader {
    const { identity, configuration } = this.#options.state();
    return {
      sender: identity.name,
      incarnation: identity.incarnation,
      sentAt: this.#options.now(),
      inForce: configuration.inForce?.version ?? null,
      highestVersion: configuration.highestVersion,
    };
  }

  async #requestReport(effect: Extract<DaemonEffect, { kind: 'ask-report' }>): Promise<void> {
    const askedAt = this.#options.now();
    const { engine, endpoint } = effect;
    const answer = await this.#options.shells.engines.report(endpoint);
    const report = answer.unwrapOr(null);
    this.#logReachability(engine, pollOutcome(engine, answer));
    if (report === null || report.engine !== engine) {
      this.#options.emit({ kind: 'engine-silent', engine });
      return;
    }
    this.#options.emit({ kind: 'engine-report', engine, askedAt, report });
  }

  #logReachability(engine: BackendName, outcome: PollOutcome): void {
    const line = this.#reachability.recordPoll(engine, outcome);
    if (line !== null) this.#options.shells.logger.write(line.event, line.fields);
  }

  async #sendOrder({ order, endpoint }: OrderEffect): Promise<void> {
    const answer = this.#maySend(order)
      ? await this.#options.shells.engines.order(endpoint, order)
      : NOT_SENT;
    this.#options.shells.metrics.recordOrder(order, answer);
    const { engine, id, fence } = order;
    this.#options.emit({ kind: 'order-answer', engine, orderId: id, fence, answer });
  }

  /**
   * The last check before an order is sent: the lease may have expired since the decision, for
   * example during a pause of this process.
   */
  #maySend(order: Order): boolean {
    const state = this.#options.state();
    const duty = state.duties.get(poolOfEngine(state, order.engine));
    const authority = duty === undefined ? null : authorityOf(duty.lease);
    return maySendUnder(authority, order.fence.epoch, this.#options.now());
  }

  async #queryOrder({ engine, orderId, endpoint }: QueryOrderEffect): Promise<void> {
    const state = await this.#options.shells.engines.orderState(endpoint, orderId);
    this.#options.emit({ kind: 'order-state', engine, orderId, state });
  }

  async #listMachines(): Promise<void> {
    const listed = await this.#options.shells.platform.machines();
    if (listed.isOk()) {
      this.#forgetUnlisted(listed.value.machines);
      this.#logUnusable(listed.value.unusable);
    }
    this.#options.emit(
      listed.match<DaemonEvent>(
        ({ machines }) => ({ kind: 'machines-listed', machines }),
        () => ({ kind: 'machines-unavailable' }),
      ),
    );
  }

  /** An engine that was removed from the machine list counts as new if it is listed again. */
  #forgetUnlisted(machines: readonly Machine[]): void {
    const listed = new Set(machines.map((machine) => machine.name));
    this.#reachability.retain((engine) => listed.has(engine));
  }

  /** Logs each problem of an entry once: the list is read again and again. */
  #logUnusable(entries: readonly UnusableMachine[]): void {
    const { logger } = this.#options.shells;
    this.#unusable.retain(new Set(entries.map(({ name }) => name)));
    for (const { name: machine, problem } of entries) {
      if (!this.#unusable.add(machine, problem)) continue;
      const unusable = this.#unusable.count;
      logger.write(ENTRY_EVENTS.machineUnusable, { machine, problem, unusable });
    }
  }

  async #checkHealth(machine: WebMachine): Promise<void> {
    const healthy = await this.#options.shells.health.isHealthy(machine);
    this.#options.emit({ kind: 'web-health', backend: machine.name, healthy });
  }
}

const NOT_SENT: OrderAnswer = {
  kind: 'lost',
  reason: 'the lease ended before the order was sent',
};

function pollOutcome(engine: BackendName, answer: Result<EngineReport, Fault>): PollOutcome {
  return answer.match<PollOutcome>(
    (report) =>
      report.engine === engine
        ? { kind: 'reported' }
        : { kind: 'other-engine', answeredBy: report.engine },
    (fault) => ({ kind: 'silent', reason: fault.message }),
  );
}

function poolOfEngine(state: DaemonState, engine: BackendName): string {
  const machine = state.digest.engines.get(engine);
  return machine === undefined ? DEFAULT_POOL : poolOf(machine);
}
