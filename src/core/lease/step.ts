/**
 * The reducer of one daemon's part in one lease: observe, take over, renew, release.
 *
 * - Each write is conditional on the version last read, so only one of two concurrent writers succeeds.
 * - After a lost answer or a conflict, the rows are read before the next write.
 * - A row that names this incarnation of this daemon is adopted without authority. Authority comes only from a write
 *   that this daemon knows to have been committed, and lasts from the time when that write was sent.
 */
import { backoff, jittered } from '../common/jitter.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import { type StepContext, type Transition, unchanged } from '../common/transition.js';
import { ENTRY_EVENTS } from '../logging/catalogue/entries.js';
import { LEASE_EVENTS } from '../logging/catalogue/lease.js';
import { log } from '../logging/log-event.js';
import type { TableCall, TableResult, TableResultEvent } from '../platform/table.js';
import { applyRows, holdsRow, isFree, lapsesAt } from './observation.js';
import { type UnreadableLeaseRow, unreadableLeaseRow } from './row-checks.js';
import type {
  LeaseCallPurpose,
  LeaseEvent,
  LeaseOutput,
  LeaseState,
  PendingLeaseCall,
} from './state.js';
import { acquireCall, readCall, releaseCall, renewCall } from './table-calls.js';

/** Renewals are sent after this share of the lease duration, less jitter. */
const RENEWAL_SHARE = 1 / 3;
/** The earliest renewal, as a share of the interval between renewals. */
const MIN_RENEWAL_SHARE = 0.8;
/** Candidates for a free lease spread their first attempts over this time. */
const ACQUIRE_SPREAD_MS: Milliseconds = 100;
/** The first wait after a failed table call. */
const FIRST_BACKOFF_MS: Milliseconds = 100;

type LeaseTransition = Transition<LeaseState, LeaseOutput>;

/** Applies one event to a daemon's part in a lease. */
export function stepLease(
  state: LeaseState,
  event: LeaseEvent,
  context: StepContext,
): LeaseTransition {
  switch (event.kind) {
    case 'tick':
      return act(state, context);
    case 'want':
      if (event.candidate === state.candidate) return unchanged(state);
      return act({ ...state, candidate: event.candidate, nextCallAt: context.now }, context);
    case 'refresh':
      return refresh(state, context);
    case 'release':
      if (state.stopping) return unchanged(state);
      return act({ ...state, stopping: true, nextCallAt: context.now }, context);
    case 'table-result':
      return receive(state, event, context);
  }
}

/** Makes the next table call if it is due and none is in flight. */
function act(state: LeaseState, context: StepContext): LeaseTransition {
  if (state.pending !== null || context.now < state.nextCallAt) return unchanged(state);
  // A lapsed lease needs no release, and a stop must not wait for a table service that is down.
  const isLapsed = state.held !== null && context.now >= state.held.until;
  if (state.stopping && isLapsed) return released(state, context);
  const mayWrite = state.held !== null || (state.candidate && !state.stopping);
  const mustRead = state.uncertain || (mayWrite && isOutdated(state, context));
  if (mustRead) return call(state, 'read', readCall(state.settings), context);
  if (state.held !== null) return actAsHolder(state, context);
  if (state.stopping || !state.candidate) return unchanged(state);
  return actAsObserver(state, context);
}

/**
 * Rows that were read longer than a lease duration ago must be read again before a conditional write: after a restore
 * of the store, a version may have been reused for the row of a later holder.
 */
function isOutdated({ observed, settings }: LeaseState, context: StepContext): boolean {
  return observed !== null && context.now - observed.lastSeenAt >= settings.durationMs;
}

function actAsHolder(state: LeaseState, context: StepContext): LeaseTransition {
  if (state.observed === null) return call(state, 'read', readCall(state.settings), context);
  if (state.stopping || !state.candidate) {
    return call(state, 'release', releaseCall(state.settings, state.observed), context);
  }
  return call(state, 'renew', renewCall(state.settings, state.observed), context);
}

function actAsObserver(state: LeaseState, context: StepContext): LeaseTransition {
  const observed = state.observed;
  if (observed === null) return call(state, 'read', readCall(state.settings), context);
  const free = isFree(observed) || context.now >= lapsesAt(state.settings, observed);
  if (free) return call(state, 'acquire', acquireCall(state.settings, observed), context);
  return call(state, 'read', readCall(state.settings), context);
}

/** Reads the rows at once unless a call is in flight or this daemon holds the lease itself. */
function refresh(state: LeaseState, context: StepContext): LeaseTransition {
  const idle = state.pending === null && state.held === null;
  if (!idle || state.stopping || !state.candidate) return unchanged(state);
  return call(state, 'read', readCall(state.settings), context);
}

function call(
  state: LeaseState,
  purpose: LeaseCallPurpose,
  tableCall: TableCall,
  context: StepContext,
): LeaseTransition {
  const calls = state.calls + 1;
  const token = `lease/${state.settings.resource}/${calls}`;
  return {
    state: { ...state, calls, pending: { token, purpose, sentAt: context.now } },
    effects: [{ kind: 'table', token, call: tableCall }],
  };
}

function receive(
  state: LeaseState,
  event: TableResultEvent,
  context: StepContext,
): LeaseTransition {
  const pending = state.pending;
  if (pending === null || pending.token !== event.token) return unchanged(state);
  const next = { ...state, pending: null };
  if (event.result.kind === 'unavailable' || event.result.kind === 'lost') {
    return receiveFailure(next, pending, event.result, context);
  }
  // A lease taken from rows that cannot be read would lose its fencing token: they are as if the store were away.
  const unreadable = unreadableLeaseRow(state.settings.resource, event.result);
  if (unreadable !== undefined) return receiveUnreadable(next, pending, unreadable, context);
  const recovered = state.failures > 0 ? [log(LEASE_EVENTS.storeRecovered, logFields(state))] : [];
  const { state: after, effects } = receiveRows(
    { ...next, failures: 0 },
    pending,
    event.result,
    context,
  );
  return { state: after, effects: [...recovered, ...effects] };
}

function receiveFailure(
  state: LeaseState,
  pending: PendingLeaseCall,
  result: Extract<TableResult, { kind: 'unavailable' | 'lost' }>,
  context: StepContext,
): LeaseTransition {
  const failures = state.failures + 1;
  const bounds = { firstMs: FIRST_BACKOFF_MS, maxMs: renewalSpan(state) };
  const requestedWaitMs = result.kind === 'unavailable' ? result.retryAfterMs : 0;
  const wait = Math.max(requestedWaitMs, backoff(bounds, failures, context.entropy));
  const lostWrite = result.kind === 'lost' && pending.purpose !== 'read';
  return {
    state: {
      ...state,
      failures,
      uncertain: state.uncertain || lostWrite,
      nextCallAt: context.now + wait,
    },
    effects:
      failures === 1
        ? [log(LEASE_EVENTS.storeUnavailable, { ...logFields(state), reason: result.reason })]
        : [],
  };
}

function receiveUnreadable(
  state: LeaseState,
  pending: PendingLeaseCall,
  { key, problem }: UnreadableLeaseRow,
  context: StepContext,
): LeaseTransition {
  const failure = { kind: 'unavailable', reason: problem, retryAfterMs: 0 } as const;
  const { state: failed } = receiveFailure(state, pending, failure, context);
  const isFirst = failed.failures === 1;
  const line = log(ENTRY_EVENTS.leaseRowUnreadable, { ...logFields(state), row: key, problem });
  return { state: failed, effects: isFirst ? [line] : [] };
}

function receiveRows(
  state: LeaseState,
  pending: PendingLeaseCall,
  result: Extract<TableResult, { kind: 'rows' | 'committed' | 'conflict' }>,
  context: StepContext,
): LeaseTransition {
  const observed = applyRows(state.settings, state.observed, result, context.now);
  const seen: LeaseState = { ...state, observed, uncertain: result.kind === 'conflict' };
  const isHeld = holdsRow(state.settings, observed);
  // In a new era, a write may be committed because its expected version was reused; it gives no authority.
  const isCommitted = result.kind === 'committed' && (isHeld || pending.purpose === 'release');
  if (isCommitted) return receiveCommit(seen, pending, context);
  if (isHeld) {
    if (result.kind === 'rows') return adopt(seen, context);
    return { state: { ...seen, nextCallAt: context.now }, effects: [] };
  }
  if (state.held !== null) return depose(seen, context);
  return { state: { ...seen, nextCallAt: nextPollAt(seen, context) }, effects: [] };
}

function receiveCommit(
  state: LeaseState,
  pending: PendingLeaseCall,
  context: StepContext,
): LeaseTransition {
  if (pending.purpose === 'release') return released(state, context);
  const observed = state.observed;
  if (observed === null) return unchanged(state);
  const { durationMs, marginMs } = state.settings;
  const held = {
    epoch: observed.epoch,
    epochRowVersion: observed.epochRowVersion,
    until: pending.sentAt + durationMs - marginMs,
  };
  const span = renewalSpan(state);
  const wait = jittered(span * MIN_RENEWAL_SHARE, span, context.entropy);
  const nextCallAt = state.stopping || !state.candidate ? context.now : pending.sentAt + wait;
  const effects: LeaseOutput[] =
    pending.purpose === 'acquire'
      ? [
          log(LEASE_EVENTS.acquired, { ...logFields(state), epoch: held.epoch }),
          { kind: 'lease-acquired', resource: state.settings.resource, epoch: held.epoch },
        ]
      : [];
  return { state: { ...state, held, nextCallAt }, effects };
}

/**
 * Handles a row that names this incarnation of this daemon: either a write whose answer was lost took effect, or the
 * lease is still held. Known authority for the same epoch stays; no new authority is assumed.
 */
function adopt(state: LeaseState, context: StepContext): LeaseTransition {
  const observed = state.observed;
  if (observed === null) return unchanged(state);
  if (state.held?.epoch === observed.epoch) {
    return { state: { ...state, nextCallAt: context.now }, effects: [] };
  }
  const held = {
    epoch: observed.epoch,
    epochRowVersion: observed.epochRowVersion,
    until: context.now,
  };
  return {
    state: { ...state, held, nextCallAt: context.now },
    effects: [
      log(LEASE_EVENTS.acquired, { ...logFields(state), epoch: held.epoch }),
      { kind: 'lease-acquired', resource: state.settings.resource, epoch: held.epoch },
    ],
  };
}

function depose(state: LeaseState, context: StepContext): LeaseTransition {
  const epoch = state.held?.epoch ?? 0;
  const wasReleased = state.stopping || !state.candidate;
  return {
    state: { ...state, held: null, nextCallAt: nextPollAt(state, context) },
    effects: [
      log(wasReleased ? LEASE_EVENTS.released : LEASE_EVENTS.deposed, {
        ...logFields(state),
        epoch,
      }),
      {
        kind: 'lease-lost',
        resource: state.settings.resource,
        epoch,
        reason: wasReleased ? 'released' : 'deposed',
      },
    ],
  };
}

function released(state: LeaseState, context: StepContext): LeaseTransition {
  const epoch = state.held?.epoch ?? 0;
  return {
    state: { ...state, held: null, nextCallAt: context.now + renewalSpan(state) },
    effects: [
      log(LEASE_EVENTS.released, { ...logFields(state), epoch }),
      { kind: 'lease-lost', resource: state.settings.resource, epoch, reason: 'released' },
    ],
  };
}

/** When an observer reads the rows next: soon if the lease is free, at the latest when a held lease may have lapsed. */
function nextPollAt(state: LeaseState, context: StepContext): MonotonicMs {
  const observed = state.observed;
  const spread = jittered(0, ACQUIRE_SPREAD_MS, context.entropy);
  if (observed === null || state.uncertain || isFree(observed)) return context.now + spread;
  const span = renewalSpan(state);
  const poll = context.now + jittered(span * MIN_RENEWAL_SHARE, span, context.entropy);
  return Math.min(poll, lapsesAt(state.settings, observed) + spread);
}

function renewalSpan(state: LeaseState): Milliseconds {
  return state.settings.durationMs * RENEWAL_SHARE;
}

function logFields(state: LeaseState): { readonly resource: string } {
  return { resource: state.settings.resource };
}
