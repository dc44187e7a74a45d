/** Configuration's state, and the working copy that one step fills in. */
import type { Result } from 'neverthrow';
import type { ChangeId, DaemonName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { Fault } from '../errors/fault.js';
import type { LogEffect } from '../logging/log-event.js';
import type { MembershipState } from '../membership/index.js';
import { type PeerEffect, StepRandom } from '../peer/index.js';
import type { ObjectCall, ObjectEffect } from '../platform/object.js';
import type { TableCall, TableEffect } from '../platform/table.js';
import type { Endpoint } from '../registry/backend.js';
import type { ChangeOutcome } from './change-outcome.js';
import type { ConfigurationDocument, VersionedConfiguration } from './document.js';

/** A changed document with one sentence for each difference. */
export interface ChangedDocument {
  readonly document: ConfigurationDocument;
  readonly description: readonly string[];
}

/** Who asked for a change, and when. */
export interface ChangeAuthor {
  /** The name of the operator's token, or `unauthenticated`. */
  readonly operator: string;
  /** The wall-clock time of the daemon that took the change, as ISO 8601. For people only. */
  readonly at: string;
}

/** An operator's change as the language hands it over. */
export interface ChangeRequest {
  /** Names this call; the answer carries it. */
  readonly token: string;
  readonly id: ChangeId;
  /** Identifies the commands, so that one id with two different changes is refused. */
  readonly digest: string;
  /** The version that the operator saw; null when the change may apply to any. */
  readonly ifVersion: number | null;
  readonly dryRun: boolean;
  /** Recorded with the change. */
  readonly author?: ChangeAuthor;
  /** Applies the commands and validates the outcome whole. Pure: it may run more than once. */
  readonly apply: (document: ConfigurationDocument) => Result<ChangedDocument, Fault>;
}

/** A changed document ready to be written. */
export interface PreparedChange extends ChangedDocument {
  /** The version of `configuration/current` that it was made from and replaces. */
  readonly base: number;
  /** The object that holds the document, when it is too large for the table. */
  readonly object: string | null;
}

/** How far a change has come. */
export type ChangePhase =
  | { readonly kind: 'reading' }
  | { readonly kind: 'pausing'; readonly until: MonotonicMs }
  | { readonly kind: 'fetching'; readonly version: number }
  | { readonly kind: 'storing'; readonly prepared: PreparedChange }
  | { readonly kind: 'committing'; readonly prepared: PreparedChange }
  | {
      readonly kind: 'confirming';
      readonly version: number;
      readonly nextAnnounceAt: MonotonicMs;
    };

/** A change under way. */
export interface ChangeProgress {
  readonly request: ChangeRequest;
  /** The calls to answer: a repeat under the same id while it runs joins it. */
  readonly waiters: readonly string[];
  readonly phase: ChangePhase;
  /** The store call in flight; results under other tokens are not for it. */
  readonly storeToken: string;
  readonly attempts: number;
  /** A transaction whose answer was lost: it may have been done, or may yet be. */
  readonly unsettled: PreparedChange | null;
  readonly deadline: MonotonicMs;
}

/** A pull under way. */
export interface Pull {
  readonly from: DaemonName;
  readonly until: MonotonicMs;
}

/** A read of the store under way. */
export interface StoreRead {
  readonly token: string;
  /** The version whose object is being fetched; null while the row is read. */
  readonly objectVersion: number | null;
}

/** Everything that configuration remembers. */
export interface ConfigurationState {
  readonly self: { readonly name: DaemonName; readonly endpoint: Endpoint };
  /** Null until the store or another daemon has given one. Never replaced by a lower version. */
  readonly inForce: VersionedConfiguration | null;
  /** The highest version that any source has shown. */
  readonly highestVersion: number;
  /** True once a configuration at least as high as any heard of has been in force. */
  readonly ready: boolean;
  readonly read: StoreRead | null;
  readonly nextReadAt: MonotonicMs | null;
  /** True once the store was read, or need not be at the start. */
  readonly firstReadDone: boolean;
  readonly failedReads: number;
  /** When the last read that succeeded ended. */
  readonly readEndedAt: MonotonicMs;
  /** Daemons that showed a higher version, with that version. */
  readonly holders: ReadonlyMap<DaemonName, number>;
  readonly pull: Pull | null;
  readonly nextPullAt: MonotonicMs;
  /** Daemons that want to hear when the version that they announced is in force here. */
  readonly origins: readonly Endpoint[];
  readonly pullsServed: { readonly since: MonotonicMs; readonly count: number };
  readonly changes: ReadonlyMap<ChangeId, ChangeProgress>;
  readonly nextToken: number;
}

/** Gives an operator the final answer to a change. */
export interface ChangeAnswerEffect {
  readonly kind: 'change-answer';
  readonly token: string;
  readonly outcome: ChangeOutcome;
}

/** What configuration asks of the shell. */
export type ConfigurationEffect =
  | PeerEffect
  | TableEffect
  | ObjectEffect
  | LogEffect
  | ChangeAnswerEffect;

/** One step's working copy: functions replace `state` and append to `effects`. */
export class ConfigurationStep {
  state: ConfigurationState;
  readonly effects: ConfigurationEffect[] = [];
  readonly now: MonotonicMs;
  readonly membership: MembershipState;
  private readonly entropy: number;
  private generator: StepRandom | null = null;

  constructor(state: ConfigurationState, context: StepContext, membership: MembershipState) {
    this.state = state;
    this.now = context.now;
    this.entropy = context.entropy;
    this.membership = membership;
  }

  /** The step's random draws. */
  get random(): StepRandom {
    this.generator ??= new StepRandom(this.entropy);
    return this.generator;
  }

  /** Replaces some of the state's fields. */
  updateState(fields: Partial<ConfigurationState>): void {
    this.state = { ...this.state, ...fields };
  }

  /** Asks for a table call; returns the token of its result. */
  callTable(call: TableCall): string {
    const token = this.takeToken();
    this.effects.push({ kind: 'table', token, call });
    return token;
  }

  /** Asks for an object store call; returns the token of its result. */
  callObject(call: ObjectCall): string {
    const token = this.takeToken();
    this.effects.push({ kind: 'object', token, call });
    return token;
  }

  private takeToken(): string {
    const token = `configuration-${this.state.nextToken}`;
    this.updateState({ nextToken: this.state.nextToken + 1 });
    return token;
  }

  /** The outcome of the step. */
  finish(): Transition<ConfigurationState, ConfigurationEffect> {
    return { state: this.state, effects: this.effects };
  }
}

/** The state at a daemon's start: nothing is in force. */
export function createConfiguration(self: ConfigurationState['self']): ConfigurationState {
  return {
    self,
    inForce: null,
    highestVersion: 0,
    ready: false,
    read: null,
    nextReadAt: null,
    firstReadDone: false,
    failedReads: 0,
    readEndedAt: 0,
    holders: new Map(),
    pull: null,
    nextPullAt: 0,
    origins: [],
    pullsServed: { since: 0, count: 0 },
    changes: new Map(),
    nextToken: 1,
  };
}
