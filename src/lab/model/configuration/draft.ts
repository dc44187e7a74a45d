/** A mutable configuration world during one step: applies the step to daemons, table and messages. */
import {
  type ConfigurationEvent,
  type ConfigurationState,
  CURRENT_KEY,
  stepConfiguration,
} from '../../../core/configuration/index.js';
import { stepMembership } from '../../../core/membership/index.js';
import type { PeerHeader } from '../../../core/peer/index.js';
import type { TableCall, TableResult } from '../../../core/platform/table.js';
import type { Violation } from '../explorer.js';
import { intern } from '../intern.js';
import { applyCall, rowOf } from '../table.js';
import {
  type ConfigurationBudget,
  type ConfigurationDaemon,
  type ConfigurationMessage,
  type ConfigurationWorld,
  DAEMON_NAMES,
  endpointOfDaemon,
  RESTARTED,
  startedDaemon,
} from './world.js';

/** The name of the configuration model's property. */
export const CONFIGURATION_PROPERTY = '9 configuration reverts or differs';

/** Protections that a mutation removes. */
export interface ConfigurationProtections {
  /** A daemon refuses a version that is lower than the one in force. */
  readonly versionCompare: boolean;
}

/** The fault of the first table call of a step. */
export type TableFault = 'none' | 'late-call' | 'slow-answer';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The configuration world during one step. */
export class ConfigurationDraft {
  readonly world: Mutable<ConfigurationWorld>;
  readonly violations: Violation[] = [];
  readonly #protections: ConfigurationProtections;
  #fault: TableFault;

  constructor(world: ConfigurationWorld, protections: ConfigurationProtections, fault: TableFault) {
    this.world = { ...world };
    this.#protections = protections;
    this.#fault = fault;
  }

  get isFaultSpent(): boolean {
    return this.#fault === 'none';
  }

  spend(kind: keyof ConfigurationBudget): void {
    this.world.budget = { ...this.world.budget, [kind]: this.world.budget[kind] - 1 };
  }

  daemon(index: number): ConfigurationDaemon {
    const daemon = this.world.daemons[index];
    if (daemon === undefined) throw new Error(`no daemon ${index}`);
    return daemon;
  }

  setDaemon(index: number, change: Partial<ConfigurationDaemon>): void {
    this.world.daemons = this.world.daemons.map((daemon, at) => {
      return at === index ? { ...daemon, ...change } : daemon;
    });
  }

  advance(index: number, milliseconds: number): void {
    const { now, ticks } = this.daemon(index);
    this.setDaemon(index, { now: now + milliseconds, ticks: ticks + 1 });
    this.feed(index, { kind: 'tick' });
  }

  /** Feeds an event to a daemon's reducers, in the same order as the daemon does. */
  feed(index: number, event: ConfigurationEvent): void {
    const daemon = this.daemon(index);
    const context = { now: daemon.now, entropy: 0 };
    if (event.kind === 'peer-received') {
      const { state } = stepMembership(daemon.membership, event, context);
      this.setDaemon(index, { membership: state });
    }
    const before = daemon.configuration;
    const { membership } = this.daemon(index);
    const next = stepConfiguration(this.#hideInForce(before), event, context, membership);
    const configuration = this.#restoreInForce(before, next.state);
    this.setDaemon(index, { configuration });
    this.#checkNotReverted(index, before, configuration);
    this.#recordInForce(index, before, configuration);
    for (const effect of next.effects) {
      if (effect.kind === 'table') this.#table(index, effect.token, effect.call);
      if (effect.kind === 'peer-send') this.#send(index, effect);
      if (effect.kind === 'change-answer') this.#recordAnswer(effect.outcome);
    }
  }

  /** Without the comparison the reducer does not see which version is in force. */
  #hideInForce(state: ConfigurationState): ConfigurationState {
    return this.#protections.versionCompare ? state : { ...state, inForce: null };
  }

  #restoreInForce(before: ConfigurationState, after: ConfigurationState): ConfigurationState {
    const isForgotten = !this.#protections.versionCompare && after.inForce === null;
    return isForgotten ? { ...after, inForce: before.inForce } : after;
  }

  #checkNotReverted(index: number, before: ConfigurationState, after: ConfigurationState): void {
    const [from, to] = [before.inForce?.version ?? -1, after.inForce?.version ?? -1];
    if (to >= from) return;
    this.#violate(`version ${to} replaces version ${from} at ${DAEMON_NAMES[index]}`);
  }

  #recordInForce(index: number, before: ConfigurationState, after: ConfigurationState): void {
    if (after.inForce === null || after.inForce === before.inForce) return;
    const { membership, now } = this.daemon(index);
    const event = { kind: 'version-in-force', version: after.inForce.version } as const;
    const { state } = stepMembership(membership, event, { now, entropy: 0 });
    this.setDaemon(index, { membership: state });
  }

  #recordAnswer(outcome: { readonly kind: string; readonly version?: number }): void {
    this.world.answers = [...this.world.answers, outcome.kind].sort();
    if (outcome.kind !== 'applied') return;
    this.world.applied = Math.max(this.world.applied, outcome.version ?? 0);
  }

  #table(index: number, token: string, call: TableCall): void {
    const fault = this.#fault;
    this.#fault = 'none';
    if (fault === 'late-call') {
      this.#put({ kind: 'table-call', call });
      this.#answer(index, token, { kind: 'lost', reason: 'timeout' });
      return;
    }
    const { table, result } = applyCall(this.world.table, call);
    this.world.table = table;
    if (fault === 'slow-answer') {
      const { incarnation } = this.daemon(index);
      this.#put({ kind: 'table-answer', to: index, incarnation, token, result });
      return;
    }
    this.#answer(index, token, result);
  }

  #answer(index: number, token: string, result: TableResult): void {
    this.feed(index, { kind: 'table-result', token, result });
  }

  #send(
    index: number,
    effect: Extract<ReturnType<typeof stepConfiguration>['effects'][number], { kind: 'peer-send' }>,
  ): void {
    const { configuration, incarnation } = this.daemon(index);
    const header: PeerHeader = {
      sender: DAEMON_NAMES[index] ?? '',
      incarnation,
      sentAt: 0,
      inForce: configuration.inForce?.version ?? null,
      highestVersion: configuration.highestVersion,
    };
    const { channel, message } = effect;
    this.#put({ kind: 'peer', to: effect.to.port, header, message, channel });
  }

  /**
   * Adds a message in flight unless an equal one is: each copy may be delivered or lost, so one copy
   * represents both.
   */
  #put(message: ConfigurationMessage): void {
    const number = intern(message);
    if (this.world.messages.some((each) => intern(each) === number)) return;
    this.world.messages = [...this.world.messages, message];
  }

  deliver(message: ConfigurationMessage, keepsCopy: boolean): void {
    if (keepsCopy) this.spend('duplicates');
    else this.world.messages = this.world.messages.filter((each) => each !== message);
    switch (message.kind) {
      case 'table-call':
        this.world.table = applyCall(this.world.table, message.call).table;
        break;
      case 'table-answer':
        if (this.daemon(message.to).incarnation !== message.incarnation) break;
        this.#answer(message.to, message.token, message.result);
        break;
      case 'peer': {
        const from = endpointOfDaemon(1 - message.to);
        const { header, message: content } = message;
        this.feed(message.to, { kind: 'peer-received', from, header, message: content });
        break;
      }
    }
  }

  /** Restarts a daemon. Messages in streams are lost, as its connections close. */
  restart(): void {
    this.spend('restarts');
    const incarnation = this.daemon(RESTARTED).incarnation + 1;
    const started = startedDaemon(RESTARTED, incarnation, this.daemon(0).incarnation);
    this.setDaemon(RESTARTED, started);
    this.world.messages = this.world.messages.filter((message) => {
      return message.kind !== 'peer' || message.channel !== 'stream';
    });
  }

  /**
   * Checks that a daemon that serves has the highest applied version in force or a newer one, and that
   * a version is the same document everywhere.
   */
  checkWorld(): void {
    const documents = new Map<number, string>();
    const row = rowOf(this.world.table, CURRENT_KEY);
    if (row.value !== null) {
      const { document } = row.value as { readonly document: unknown };
      documents.set(row.version, JSON.stringify(document));
    }
    for (const [index, { configuration }] of this.world.daemons.entries()) {
      const { inForce } = configuration;
      if (inForce === null) continue;
      const { version, document } = inForce;
      const text = JSON.stringify(document);
      if ((documents.get(version) ?? text) !== text) {
        this.#violate(`version ${version} is another document at ${DAEMON_NAMES[index]}`);
      }
      documents.set(version, text);
      if (configuration.ready && version < this.world.applied) {
        const applied = `version ${this.world.applied} was applied`;
        this.#violate(`${applied}, and ${DAEMON_NAMES[index]} serves under version ${version}`);
      }
    }
  }

  #violate(detail: string): void {
    this.violations.push({ property: CONFIGURATION_PROPERTY, detail });
  }
}
