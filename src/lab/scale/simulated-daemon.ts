/**
 * The control plane of a daemon in virtual time: the production reducers of membership, configuration
 * and digests, with a local clock.
 */
import type { StepContext } from '../../core/common/transition.js';
import {
  type ChangeOutcome,
  type ChangeRequest,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationState,
  createConfiguration,
  stepConfiguration,
} from '../../core/configuration/index.js';
import {
  createDigest,
  type DigestEffect,
  type DigestEvent,
  type DigestState,
  stepDigest,
} from '../../core/digest/index.js';
import type { LogEffect } from '../../core/logging/log-event.js';
import {
  createMembership,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipIdentity,
  type MembershipState,
  stepMembership,
} from '../../core/membership/index.js';
import type { PeerEffect, PeerHeader, PeerReceivedEvent } from '../../core/peer/index.js';
import type { ObjectEffect } from '../../core/platform/object.js';
import type { TableEffect } from '../../core/platform/table.js';
import type { Machine } from '../../core/registry/backend.js';

/** What a simulated daemon uses of the simulation. */
export interface DaemonEnvironment {
  context(): StepContext;
  send(effect: PeerEffect, header: PeerHeader): void;
  callTable(effect: TableEffect): void;
  callObject(effect: ObjectEffect): void;
  pollEngine(engine: string): void;
  answer(token: string, outcome: ChangeOutcome): void;
  log(effect: LogEffect): void;
}

type Effect = MembershipEffect | ConfigurationEffect | DigestEffect;
type StoreEvent = Extract<ConfigurationEvent, { kind: 'table-result' | 'object-result' }>;

/** One incarnation of a daemon. */
export class SimulatedDaemon {
  membership: MembershipState;
  configuration: ConfigurationState;
  digest: DigestState;

  constructor(
    readonly identity: MembershipIdentity,
    private readonly environment: DaemonEnvironment,
  ) {
    this.membership = createMembership(identity);
    this.configuration = createConfiguration(identity);
    this.digest = createDigest(identity.name);
  }

  /** The version in force; -1 before there is one. */
  get version(): number {
    return this.configuration.inForce?.version ?? -1;
  }

  /** Runs the reducers' periodic work; called about every 100 ms. */
  tick(): void {
    this.stepMembership({ kind: 'tick' });
    this.stepConfiguration({ kind: 'tick' });
    this.stepDigest({ kind: 'tick' });
  }

  /** Handles a message of another daemon. */
  receive(event: PeerReceivedEvent): void {
    this.stepMembership(event);
    this.stepConfiguration(event);
    this.stepDigest(event);
  }

  /** Applies a read of the machine list. */
  applyMachineList(machines: readonly Machine[]): void {
    const daemons = machines.filter((machine) => machine.kind === 'daemon');
    const engines = machines.filter((machine) => machine.kind === 'engine');
    this.stepMembership({ kind: 'daemons-listed', daemons });
    this.stepDigest({ kind: 'engines-listed', engines });
  }

  /** Begins a planned stop. */
  leave(): void {
    this.stepMembership({ kind: 'leave' });
  }

  /** Handles the result of a store call. */
  receiveResult(event: StoreEvent): void {
    this.stepConfiguration(event);
  }

  /** Handles an engine's report, or the lack of one. */
  receivePoll(event: Extract<DigestEvent, { kind: 'engine-report' | 'engine-silent' }>): void {
    this.stepDigest(event);
  }

  /** Submits an operator's change. */
  change(request: ChangeRequest): void {
    this.stepConfiguration({ kind: 'change', request });
  }

  private stepMembership(event: MembershipEvent): void {
    const context = this.environment.context();
    const { state, effects } = stepMembership(this.membership, event, context);
    this.membership = state;
    this.perform(effects);
  }

  private stepConfiguration(event: ConfigurationEvent): void {
    const before = this.version;
    const context = this.environment.context();
    const { state, effects } = stepConfiguration(
      this.configuration,
      event,
      context,
      this.membership,
    );
    this.configuration = state;
    this.perform(effects);
    if (this.version !== before) {
      this.stepMembership({ kind: 'version-in-force', version: this.version });
    }
  }

  private stepDigest(event: DigestEvent): void {
    const context = this.environment.context();
    const { state, effects } = stepDigest(this.digest, event, context, this.membership);
    this.digest = state;
    this.perform(effects);
  }

  private perform(effects: readonly Effect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'peer-send':
          this.environment.send(effect, this.header());
          break;
        case 'table':
          this.environment.callTable(effect);
          break;
        case 'object':
          this.environment.callObject(effect);
          break;
        case 'poll-engine':
          this.environment.pollEngine(effect.engine);
          break;
        case 'change-answer':
          this.environment.answer(effect.token, effect.outcome);
          break;
        case 'log':
          this.environment.log(effect);
          break;
      }
    }
  }

  private header(): PeerHeader {
    return {
      sender: this.identity.name,
      incarnation: this.identity.incarnation,
      sentAt: this.environment.context().now,
      inForce: this.configuration.inForce?.version ?? null,
      highestVersion: this.configuration.highestVersion,
    };
  }
}
