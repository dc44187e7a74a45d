/**
 * The state, events and effects of the lease reducer: one daemon's part in one lease.
 */
import type { DaemonName, Incarnation } from '../common/identifiers.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import type { LogEffect } from '../logging/log-event.js';
import type { TableEffect, TableResultEvent } from '../platform/table.js';
import type { Authority } from './authority.js';
import type { LeaseRow } from './types.js';

/** What does not change while the daemon's process runs. */
export interface LeaseSettings {
  /** What the lease is for, for example `pool/labels@leiden-a`. */
  readonly resource: string;
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  /** How long the lease is held after a renewal. */
  readonly durationMs: Milliseconds;
  /** Subtracted from the holder's deadline and added to the observers' wait, to allow for clock drift. */
  readonly marginMs: Milliseconds;
}

export const DEFAULT_LEASE_DURATION_MS: Milliseconds = 5_000;
export const DEFAULT_LEASE_MARGIN_MS: Milliseconds = 500;

/** The rows of a lease as last read. */
export interface ObservedLease {
  /** The era of the store to which the versions belong. */
  readonly era: number;
  /** The lease row's version; 0 while it is absent. */
  readonly version: number;
  readonly row: LeaseRow | null;
  readonly epochRowVersion: number;
  /** The highest epoch in either row. */
  readonly epoch: number;
  /** When this daemon first received this version. */
  readonly firstSeenAt: MonotonicMs;
  /** When the rows were last read or written. */
  readonly lastSeenAt: MonotonicMs;
}

/** The purpose of a table call. */
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
  /** Whether the daemon wants to hold the lease. */
  readonly candidate: boolean;
  /** True after `release`: the lease is released and not acquired again. */
  readonly stopping: boolean;
  readonly observed: ObservedLease | null;
  /** The authority of the held lease, which may have expired; null when not held. */
  readonly held: Authority | null;
  readonly pending: PendingLeaseCall | null;
  /** A write had no answer or conflicted: the rows must be read before the next write. */
  readonly uncertain: boolean;
  readonly nextCallAt: MonotonicMs;
  /** The number of consecutive table calls that failed or were not answered. */
  readonly failures: number;
  /** The number of table calls made, from which call tokens are built. */
  readonly calls: number;
}

/** The events of the lease reducer. */
export type LeaseEvent =
  | { readonly kind: 'tick' }
  | TableResultEvent
  /** The daemon becomes a candidate, or stops being one and releases the lease if it holds it. */
  | { readonly kind: 'want'; readonly candidate: boolean }
  /** A peer reported that the lease was released: read the rows now instead of at the next poll. */
  | { readonly kind: 'refresh' }
  /** The daemon is stopping: release the lease and do not acquire it again. */
  | { readonly kind: 'release' };

/** Changes of the lease, for the modules that depend on it. */
export type LeaseEffect =
  | { readonly kind: 'lease-acquired'; readonly resource: string; readonly epoch: number }
  | {
      readonly kind: 'lease-lost';
      readonly resource: string;
      readonly epoch: number;
      readonly reason: 'deposed' | 'released';
    };

/** All effects of the lease reducer. */
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

/** The daemon's authority, or null. Its `until` may have passed. */
export function authorityOf(state: LeaseState): Authority | null {
  if (state.stopping || !state.candidate) return null;
  return state.held;
}

/** Whether the daemon may act under the lease now. */
export function holdsAuthority(state: LeaseState, now: MonotonicMs): boolean {
  const authority = authorityOf(state);
  return authority !== null && now < authority.until;
}

/** The epoch of the held lease, or null. */
export function epochOf(state: LeaseState): number | null {
  return state.held?.epoch ?? null;
}

/** Whether nothing is left to release, so that a stopping daemon may exit. */
export function isReleased(state: LeaseState): boolean {
  return state.held === null && state.pending?.purpose !== 'acquire';
}
