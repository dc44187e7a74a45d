/**
 * The state, events and effects of one daemon's part in one lease.
 */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { LogEffect } from '../logging/log-event.js';
import type { TableEffect, TableResultEvent } from '../platform/table.js';
import type { Authority } from './authority.js';
import type { LeaseRow } from './types.js';

/** What does not change during a daemon's life. */
export interface LeaseSettings {
  /** What the lease is for, for example `pool/labels@leiden-a`. */
  readonly resource: string;
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  /** How long a renewal lasts. */
  readonly durationMs: Milliseconds;
  /** Taken off the holder's deadline and added to the observer's wait, for clock drift. */
  readonly marginMs: Milliseconds;
}

/** The duration of a lease unless the settings say otherwise. */
export const DEFAULT_LEASE_DURATION_MS: Milliseconds = 5_000;
/** The drift margin of a lease unless the settings say otherwise. */
export const DEFAULT_LEASE_MARGIN_MS: Milliseconds = 500;

/** The rows of a lease as last read. */
export interface ObservedLease {
  /** The era of the store that the versions are of. */
  readonly era: number;
  /** The lease row's version; 0 while it is absent. */
  readonly version: number;
  readonly row: LeaseRow | null;
  readonly epochRowVersion: number;
  /** The highest epoch that either row states. */
  readonly epoch: number;
  /** When this daemon first received this version. */
  readonly firstSeenAt: MonotonicMs;
  /** When the rows were last read or written. */
  readonly lastSeenAt: MonotonicMs;
}

/** What a table call is for. */
export type LeaseCallPurpose = 'read' | 'acquire' | 'renew' | 'release';

/** The one table call that may be in flight. */
export interface PendingLeaseCall {
  readonly token: string;
  readonly purpose: LeaseCallPurpose;
  readonly sentAt: MonotonicMs;
}

/** One daemon's part in one lease. */
export interface LeaseState {
  readonly settings: LeaseSettings;
  /** Whether the daemon would hold the lease. */
  readonly candidate: boolean;
  /** True after `release`: the lease is given up and not taken again. */
  readonly stopping: boolean;
  readonly observed: ObservedLease | null;
  /** The authority of the lease held, which may have run out; null when not held. */
  readonly held: Authority | null;
  readonly pending: PendingLeaseCall | null;
  /** A write was lost or conflicted: the rows must be read before anything else is written. */
  readonly uncertain: boolean;
  readonly nextCallAt: MonotonicMs;
  /** Table calls in a row that did not answer. */
  readonly failures: number;
  /** Table calls made, for tokens. */
  readonly calls: number;
}

/** What a lease reducer reacts to. */
export type LeaseEvent =
  | { readonly kind: 'tick' }
  | TableResultEvent
  /** The daemon becomes a candidate, or ceases to be one and gives up what it holds. */
  | { readonly kind: 'want'; readonly candidate: boolean }
  /** A peer says that the lease was released: read it now instead of at the next poll. */
  | { readonly kind: 'refresh' }
  /** The daemon stops: give up the lease for good. */
  | { readonly kind: 'release' };

/** What became of the lease, for the daemon's composition. */
export type LeaseEffect =
  | { readonly kind: 'lease-acquired'; readonly resource: string; readonly epoch: number }
  | {
      readonly kind: 'lease-lost';
      readonly resource: string;
      readonly epoch: number;
      readonly reason: 'deposed' | 'released';
    };

/** Everything that a lease reducer asks for. */
export type LeaseOutput = TableEffect | LogEffect | LeaseEffect;

/** The state of a daemon that has not read the lease yet and is not a candidate. */
export function initialLeaseState(settings: LeaseSettings): LeaseState {
  return {
    settings,
    candidate: false,
    stopping: false,
    observed: null,
    held: null,
    pending: null,
    uncertain: false,
    nextCallAt: 0,
    failures: 0,
    calls: 0,
  };
}

/** The authority that the daemon has, or null. Its `until` may have passed. */
export function authorityOf(state: LeaseState): Authority | null {
  if (state.stopping || !state.candidate) return null;
  return state.held;
}

/** Whether the daemon may act under the lease now. */
export function holdsAuthority(state: LeaseState, now: MonotonicMs): boolean {
  const authority = authorityOf(state);
  return authority !== null && now < authority.until;
}

/** The epoch of the lease held, or null. */
export function epochOf(state: LeaseState): number | null {
  return state.held?.epoch ?? null;
}

/** Whether nothing is left to give up, so that a stopping daemon may exit. */
export function isReleased(state: LeaseState): boolean {
  return state.held === null && state.pending?.purpose !== 'acquire';
}
