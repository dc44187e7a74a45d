/** The state of configuration, and the working copy that one step modifies. */
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

/** The operator who requested a change, and the time. */
export interface ChangeAuthor {
  /** The name of the operator's token, or `unauthenticated`. */
  readonly operator: string;
  /** The wall-clock time at which a daemon received the change, as ISO 8601; informational. */
  readonly at: string;
}

/** An operator's change as the command language produces it. */
export interface ChangeRequest {
  /** Identifies this call; the answer carries the same token. */
  readonly token: string;
  readonly id: ChangeId;
  /** Identifies the commands, so that one id with two different changes is refused. */
  readonly digest: string;
  /** The version that the change requires to be current; null accepts any version. */
  readonly ifVersion: number | null;
  readonly dryRun: boolean;
  /** Stored with the change's record. */
  readonly author?: ChangeAuthor;
  /** Applies the commands and validates the resulting document. Pure: may run more than once. */
  readonly apply: (document: ConfigurationDocument) => Result<ChangedDocument, Fault>;
}

/** A changed document ready to be written. */
export interface PreparedChange extends ChangedDocument {
  /** The version of `configuration/current` that this document was derived from and replaces. */
  readonly base: number;
  /** The object that holds the document when it is too large for the table; otherwise null. */
  readonly object: string | null;
}

/** The phase of a running change. */
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

/** A running change. */
export interface ChangeProgress {
  readonly request: ChangeRequest;
  /** Tokens of the calls to answer: a call that repeats a running change's id joins that change. */
  readonly waiters: readonly string[];
  readonly phase: ChangePhase;
  /** The token of the store call in flight; results with other tokens belong to other calls. */
  readonly storeToken: string;
  readonly attempts: number;
  /** A transaction whose answer was lost: it may have taken effect, or may still do so. */
  readonly unsettled: PreparedChange | null;
  readonly deadline: MonotonicMs;
}

/** A pull in progress. */
export interface Pull {
  readonly from: DaemonName;
  readonly until: MonotonicMs;
}

/** A read of the store in progress. */
export interface StoreRead {
  readonly token: string;
  /** The version whose object is being fetched; null while the row is read. */
  readonly objectVersion: number | null;
}

/** The state of configuration on one daemon. */
export interface ConfigurationState {
  readonly self: { readonly name: DaemonName; readonly endpoint: Endpoint };
  /** Null until received from the store or another daemon. Never replaced by a lower version. */
  readonly inForce: VersionedConfiguration | null;
  /** The highest version known from any source. */
  readonly highestVersion: number;
  /** True once a version at least as high as every known one has been in force; never reset. */
  readonly ready: boolean;
  readonly read: StoreRead | null;
  readonly nextReadAt: MonotonicMs | null;
  /** True once the store was read, or another daemon supplied the configuration before that. */
  readonly firstReadDone: boolean;
  readonly failedReads: number;
  /** The end of the last successful read. */
  readonly readEndedAt: MonotonicMs;
  /** Daemons with a higher version in force than this daemon, with that version. */
  readonly holders: ReadonlyMap<DaemonName, number>;
  readonly pull: Pull | null;
  readonly nextPullAt: MonotonicMs;
  /** Daemons that wait for this daemon's confirmation of an announced version. */
  readonly origins: readonly Endpoint[];
  readonly pullsServed: { readonly since: MonotonicMs; readonly count: number };
  readonly changes: ReadonlyMap<ChangeId, ChangeProgress>;
  readonly nextToken: number;
}

/** Sends the final answer to a change's caller. */
export interface ChangeAnswerEffect {
  readonly kind: 'change-answer';
  readonly token: string;
  readonly outcome: ChangeOutcome;
}

/** The effects that configuration requests from the shell. */
export type ConfigurationEffect =
  | PeerEffect
  | TableEffect
  | ObjectEffect
  | LogEffect
  | ChangeAnswerEffect;

/** The working copy of one step: functions replace `state` and append to `effects`. */
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

  /** The step's random number generator. */
  get random(): StepRandom {
    this.generator ??= new StepRandom(this.entropy);
    return this.generator;
  }

  /** Replaces some of the state's fields. */
  updateState(fields: Partial<ConfigurationState>): void {
    this.state = { ...this.state, ...fields };
  }

  /** Requests a table call; returns the token of its result. */
  callTable(call: TableCall): string {
    const token = this.allocateToken();
    this.effects.push({ kind: 'table', token, call });
    return token;
  }

  /** Requests an object store call; returns the token of its result. */
  callObject(call: ObjectCall): string {
    const token = this.allocateToken();
    this.effects.push({ kind: 'object', token, call });
    return token;
  }

  private allocateToken(): string {
    const token = `configuration-${this.state.nextToken}`;
    this.updateState({ nextToken: this.state.nextToken + 1 });
    return token;
  }

  /** The new state and the effects of the step. */
  finish(): Transition<ConfigurationState, ConfigurationEffect> {
    return { state: this.state, effects: this.effects };
  }
}

/** The state at a daemon's start: no configuration is in force. */
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
