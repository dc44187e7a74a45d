/** Membership's state, and the working copy that one step fills in. */
import type { DaemonName, Incarnation, ZoneName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { LogEffect } from '../logging/log-event.js';
import { type PeerEffect, StepRandom } from '../peer/index.js';
import type { DaemonMachine, Endpoint } from '../registry/backend.js';
import type { Member } from './member.js';
import { invalidateTableIndex } from './table.js';

/** Who this daemon is. */
export interface MembershipIdentity {
  readonly name: DaemonName;
  readonly zone: ZoneName;
  /** Where its peer transport listens. */
  readonly endpoint: Endpoint;
  /** Must grow with each start, for example the wall-clock time of the start in milliseconds. */
  readonly incarnation: Incarnation;
}

/** A probe under way. */
export interface Probe {
  readonly target: DaemonName;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly indirectAt: MonotonicMs;
  readonly endsAt: MonotonicMs;
  readonly indirectSent: boolean;
}

/** A ping sent for another daemon. */
export interface RelayedPing {
  readonly replyTo: Endpoint;
  readonly sequence: number;
  readonly expiresAt: MonotonicMs;
}

/** A suspicion that ends in death unless it is contradicted. */
export interface Suspicion {
  readonly startedAt: MonotonicMs;
  readonly suspectedBy: readonly DaemonName[];
}

/** What is known of a zone's heartbeat. */
export interface ZoneView {
  readonly heartbeat: number;
  readonly advancedAt: MonotonicMs;
}

/** Everything that membership remembers. */
export interface MembershipState {
  readonly self: MembershipIdentity;
  /** Contains this daemon too. */
  readonly members: ReadonlyMap<DaemonName, Member>;
  /** The machine list's daemons, this one excepted. */
  readonly listed: readonly DaemonMachine[];
  /** When the machine list first named this daemon; null before. */
  readonly ownListingAt: MonotonicMs | null;
  readonly seeds: readonly Endpoint[];
  readonly zones: ReadonlyMap<ZoneName, ZoneView>;
  readonly suspicions: ReadonlyMap<DaemonName, Suspicion>;
  /** Updates to pass on, with how often each has been sent. */
  readonly gossip: ReadonlyMap<DaemonName, number>;
  readonly probe: Probe | null;
  /** Members still to be probed in this round. */
  readonly probeOrder: readonly DaemonName[];
  readonly relayedPings: ReadonlyMap<number, RelayedPing>;
  readonly sequence: number;
  readonly localHealth: number;
  readonly nextProbeAt: MonotonicMs;
  readonly nextContactAt: MonotonicMs;
  readonly nextSummaryAt: MonotonicMs;
  readonly nextRelayAt: MonotonicMs;
  readonly nextTableAt: MonotonicMs;
  readonly lastTickAt: MonotonicMs | null;
  /** The time of the first event. */
  readonly startedAt: MonotonicMs | null;
  /** The time of the last event. */
  readonly observedAt: MonotonicMs;
}

/** What membership asks of the shell. */
export type MembershipEffect = PeerEffect | LogEffect;

/** One step's working copy: functions replace `state` and append to `effects`. */
export class MembershipStep {
  state: MembershipState;
  readonly effects: MembershipEffect[] = [];
  readonly now: MonotonicMs;
  private readonly entropy: number;
  private generator: StepRandom | null = null;
  private ownTable: Map<DaemonName, Member> | null = null;
  private ownGossip: Map<DaemonName, number> | null = null;

  constructor(state: MembershipState, context: StepContext) {
    this.state = {
      ...state,
      startedAt: state.startedAt ?? context.now,
      observedAt: context.now,
    };
    this.now = context.now;
    this.entropy = context.entropy;
  }

  /** The step's random draws. */
  get random(): StepRandom {
    this.generator ??= new StepRandom(this.entropy);
    return this.generator;
  }

  /** Replaces some of the state's fields. */
  change(fields: Partial<MembershipState>): void {
    this.state = { ...this.state, ...fields };
  }

  /** Replaces or adds a member. The table is copied once in a step. */
  putMember(member: Member): void {
    if (this.state.members !== this.ownTable) {
      this.ownTable = new Map(this.state.members);
      this.change({ members: this.ownTable });
    }
    this.ownTable?.set(member.name, member);
    invalidateTableIndex(this.state.members);
  }

  /** Marks a member's entry as news to be passed on. */
  enqueueGossip(name: DaemonName): void {
    if (this.state.gossip !== this.ownGossip) {
      this.ownGossip = new Map(this.state.gossip);
      this.change({ gossip: this.ownGossip });
    }
    this.ownGossip?.set(name, 0);
  }

  /** Takes the next sequence number for a ping. */
  nextSequence(): number {
    const sequence = this.state.sequence;
    this.change({ sequence: sequence + 1 });
    return sequence;
  }

  /** This daemon's own entry. */
  get self(): Member {
    return this.state.members.get(this.state.self.name) as Member;
  }

  /** The outcome of the step. */
  finish(): Transition<MembershipState, MembershipEffect> {
    return { state: this.state, effects: this.effects };
  }
}

/** The state at a daemon's start: it knows only itself. */
export function createMembership(
  self: MembershipIdentity,
  seeds: readonly Endpoint[] = [],
): MembershipState {
  const own: Member = {
    ...self,
    refutation: 0,
    status: 'alive',
    suspectedBy: null,
    statusSince: 0,
    configurationVersion: null,
  };
  return {
    self,
    members: new Map([[self.name, own]]),
    listed: [],
    ownListingAt: null,
    seeds,
    zones: new Map(),
    suspicions: new Map(),
    gossip: new Map([[self.name, 0]]),
    probe: null,
    probeOrder: [],
    relayedPings: new Map(),
    sequence: 1,
    localHealth: 0,
    nextProbeAt: 0,
    nextContactAt: 0,
    nextSummaryAt: 0,
    nextRelayAt: 0,
    nextTableAt: 0,
    lastTickAt: null,
    startedAt: null,
    observedAt: 0,
  };
}

/** A copy of a map with one entry set. */
export function withEntry<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
  value: Value,
): ReadonlyMap<Key, Value> {
  return new Map(map).set(key, value);
}

/** A copy of a map without one key; the map itself when the key is absent. */
export function withoutEntry<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  key: Key,
): ReadonlyMap<Key, Value> {
  if (!map.has(key)) {
    return map;
  }
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}
