/** The digest part's state, and the working copy that one step fills in. */
import type { BackendName, DaemonName, Incarnation, PoolName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { MembershipState } from '../membership/index.js';
import type { EngineInventory, PeerEffect } from '../peer/index.js';
import type { EngineMachine, EngineReport, EngineView } from '../registry/backend.js';

/** An engine's last report as the engine itself gave it to this daemon. */
export interface DirectReport {
  readonly report: EngineReport;
  /** The hash of the report's inventory. */
  readonly revision: number;
  readonly askedAt: MonotonicMs;
}

/** Another daemon's wish to hear of engines. */
export interface Interest {
  /** With the revision of the inventory that the other daemon has. */
  readonly engines: ReadonlyMap<BackendName, number | null>;
  readonly until: MonotonicMs;
}

/** An inventory with its hash. */
export interface KnownInventory {
  readonly revision: number;
  readonly inventory: EngineInventory;
}

/** The last message from another daemon, to be echoed to it. */
export interface LastMessage {
  readonly incarnation: Incarnation;
  readonly sentAt: MonotonicMs;
  readonly receivedAt: MonotonicMs;
}

/** Everything that the digest part remembers. */
export interface DigestState {
  readonly self: DaemonName;
  readonly engines: ReadonlyMap<BackendName, EngineMachine>;
  /** Counts the changes of `engines`. */
  readonly listVersion: number;
  /** What the present assignment of engines was made from. */
  readonly assignmentKey: string;
  /** The pools that this daemon controls: it wants to know all of their engines. */
  readonly controlledPools: readonly PoolName[];
  /** The engines that this daemon sends requests to or controls. */
  readonly used: ReadonlySet<BackendName>;
  /** Until when other daemons want to hear of an engine. */
  readonly wantedUntil: ReadonlyMap<BackendName, MonotonicMs>;
  /** What this daemon knows of each engine that it uses or watches. */
  readonly views: ReadonlyMap<BackendName, EngineView>;
  readonly directReports: ReadonlyMap<BackendName, DirectReport>;
  /** Inventories that watchers told, by engine. */
  readonly inventories: ReadonlyMap<BackendName, KnownInventory>;
  readonly interests: ReadonlyMap<DaemonName, Interest>;
  readonly lastMessages: ReadonlyMap<DaemonName, LastMessage>;
  /** When each engine was last asked; entries of answered polls stay. */
  readonly polledAt: ReadonlyMap<BackendName, MonotonicMs>;
  readonly pendingPolls: ReadonlySet<BackendName>;
  readonly nextAssignmentAt: MonotonicMs;
  readonly nextDigestAt: MonotonicMs;
  readonly nextInterestAt: MonotonicMs;
}

/** Asks the shell for an engine's report; `engine-report` or `engine-silent` comes back. */
export interface PollEngineEffect {
  readonly kind: 'poll-engine';
  readonly engine: BackendName;
}

/** What the digest part asks of the shell. */
export type DigestEffect = PeerEffect | PollEngineEffect;

/** One step's working copy: functions replace `state` and append to `effects`. */
export class DigestStep {
  state: DigestState;
  readonly effects: DigestEffect[] = [];
  readonly now: MonotonicMs;
  readonly membership: MembershipState;

  constructor(state: DigestState, context: StepContext, membership: MembershipState) {
    this.state = state;
    this.now = context.now;
    this.membership = membership;
  }

  /** Replaces some of the state's fields. */
  change(fields: Partial<DigestState>): void {
    this.state = { ...this.state, ...fields };
  }

  /** Replaces an engine's view. */
  putView(view: EngineView): void {
    this.change({ views: new Map(this.state.views).set(view.machine.name, view) });
  }

  /** The outcome of the step. */
  finish(): Transition<DigestState, DigestEffect> {
    return { state: this.state, effects: this.effects };
  }
}

/** The state at a daemon's start. */
export function createDigest(self: DaemonName): DigestState {
  return {
    self,
    engines: new Map(),
    listVersion: 0,
    assignmentKey: '',
    controlledPools: [],
    used: new Set(),
    wantedUntil: new Map(),
    views: new Map(),
    directReports: new Map(),
    inventories: new Map(),
    interests: new Map(),
    lastMessages: new Map(),
    polledAt: new Map(),
    pendingPolls: new Set(),
    nextAssignmentAt: 0,
    nextDigestAt: 0,
    nextInterestAt: 0,
  };
}
