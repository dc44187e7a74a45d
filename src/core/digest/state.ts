/** The digest component's state, and the working copy of one step. */
import type { BackendName, DaemonName, Incarnation, PoolName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { MembershipState } from '../membership/index.js';
import type { EngineInventory, PeerEffect } from '../peer/index.js';
import type { EngineMachine, EngineReport, EngineView } from '../registry/backend.js';

/** The last report that this daemon received from the engine itself. */
export interface DirectReport {
  readonly report: EngineReport;
  /** The hash of the report's inventory. */
  readonly revision: number;
  readonly askedAt: MonotonicMs;
}

/** Another daemon's request for digests of engines. */
export interface Interest {
  /** Each engine with the revision of the inventory that the other daemon has; null for none. */
  readonly engines: ReadonlyMap<BackendName, number | null>;
  readonly until: MonotonicMs;
}

/** An inventory with its hash. */
export interface KnownInventory {
  readonly revision: number;
  readonly inventory: EngineInventory;
}

/** The last message from another daemon, which digests echo back to it. */
export interface LastMessage {
  readonly incarnation: Incarnation;
  readonly sentAt: MonotonicMs;
  readonly receivedAt: MonotonicMs;
}

export interface DigestState {
  readonly self: DaemonName;
  readonly engines: ReadonlyMap<BackendName, EngineMachine>;
  /** The number of changes of `engines` so far. */
  readonly listVersion: number;
  /** Identifies the inputs of the present assignment of engines. */
  readonly assignmentKey: string;
  /** The pools that this daemon controls. It needs the reports of all their engines. */
  readonly controlledPools: readonly PoolName[];
  /** The engines that this daemon sends requests to or controls. */
  readonly used: ReadonlySet<BackendName>;
  /** The time until which other daemons have requested digests of an engine. */
  readonly wantedUntil: ReadonlyMap<BackendName, MonotonicMs>;
  /** The views of the engines that this daemon uses or watches. */
  readonly views: ReadonlyMap<BackendName, EngineView>;
  readonly directReports: ReadonlyMap<BackendName, DirectReport>;
  /** Inventories received from watchers, by engine. */
  readonly inventories: ReadonlyMap<BackendName, KnownInventory>;
  readonly interests: ReadonlyMap<DaemonName, Interest>;
  readonly lastMessages: ReadonlyMap<DaemonName, LastMessage>;
  /** When each engine was last polled; entries of answered polls stay. */
  readonly polledAt: ReadonlyMap<BackendName, MonotonicMs>;
  readonly pendingPolls: ReadonlySet<BackendName>;
  readonly nextAssignmentAt: MonotonicMs;
  readonly nextDigestAt: MonotonicMs;
  readonly nextInterestAt: MonotonicMs;
}

/** Polls an engine for its report. The shell answers with `engine-report` or `engine-silent`. */
export interface PollEngineEffect {
  readonly kind: 'poll-engine';
  readonly engine: BackendName;
}

export type DigestEffect = PeerEffect | PollEngineEffect;

/** The working copy of one step: functions replace `state` and append to `effects`. */
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

  putView(view: EngineView): void {
    this.change({ views: new Map(this.state.views).set(view.machine.name, view) });
  }

  /** The outcome of the step. */
  finish(): Transition<DigestState, DigestEffect> {
    return { state: this.state, effects: this.effects };
  }
}

/** The initial state of a daemon. */
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
