/**
 * The reducer of one daemon's part in one lease: observe, take over, renew, give up.
 *
 * - A write is made only on the version last read, so that of two writers one wins.
 * - After a lost answer or a conflict the rows are read before anything else is written.
 * - A row that names this life of this daemon is adopted without authority; authority comes only
 *   from a renewal that this daemon knows to have been committed, counted from its sending.
 */
import { backoff, jittered } from '../common/jitter.js';
import type { Milliseconds, MonotonicMs } from '../common/time.js';
import { type StepContext, type Transition, unchanged } from '../common/transition.js';
import { LEASE_EVENTS } from '../logging/catalogue/lease.js';
import { log } from '../logging/log-event.js';
import type { TableCall, TableResult, TableResultEvent } from '../platform/table.js';
import { applyRows, holdsRow, isFree, lapsesAt } from './observation.js';
import type {
  LeaseCallPurpose,
  LeaseEvent,
  LeaseOutput,
  LeaseState,
  PendingLeaseCall,
} from './state.js';
import { acquireCall, readCall, releaseCall, renewCall } from './table-calls.js';

/** Renewals are sent at this share of the duration, less jitter. */
const RENEWAL_SHARE = 1 / 3;
/** The earliest renewal, as a share of the span between renewals. */
const RENEWAL_LEAST_SHARE = 0.8;
/** Candidates for a free lease spread their first tries over this span. */
const ACQUIRE_SPREAD_MS: Milliseconds = 100;
/** The first wait after a failed table call. */
const FIRST_BACKOFF_MS: Milliseconds = 100;

type LeaseTransition = Transition<LeaseState, LeaseOutput>;

/** One step of a daemon's part in a lease. */
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

/** Makes the next table call when it is due and none is in flight. */
function act(state: LeaseState, context: StepContext): LeaseTransition {
  if (state.pending !== null || context.now < state.nextCallAt) return unchanged(state);
  // Nothing is left to give up; a stop must not wait for a table service that is down.
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
 * What was read longer than a lease ago is read again before it is written on: in a new era of the store its versions
 * may be those of a later holder.
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
  const recovered = state.failures > 0 ? [log(LEASE_EVENTS.storeRecovered, fields(state))] : [];
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
  const asked = result.kind === 'unavailable' ? result.retryAfterMs : 0;
  const wait = Math.max(asked, backoff(bounds, failures, context.entropy));
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
        ? [log(LEASE_EVENTS.storeUnavailable, { ...fields(state), reason: result.reason })]
        : [],
  };
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
  // A write may be committed in a new era on a version that was given out again: it gives nothing there.
  const isCommitted = result.kind === 'committed' && (isHeld || pending.purpose === 'release');
  if (isCommitted) return receiveCommit(seen, pending, context);
  if (isHeld) {
    if (result.kind === 'rows') return adopt(seen, context);
    return { state: { ...seen, nextCallAt: context.now }, effects: [] };
  }
  if (state.held !== null) return depose(seen, context);
  return { state: { ...seen, nextCallAt: nextObservation(seen, context) }, effects: [] };
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
  const wait = jittered(span * RENEWAL_LEAST_SHARE, span, context.entropy);
  const nextCallAt = state.stopping || !state.candidate ? context.now : pending.sentAt + wait;
  const effects: LeaseOutput[] =
    pending.purpose === 'acquire'
      ? [
          log(LEASE_EVENTS.acquired, { ...fields(state), epoch: held.epoch }),
          { kind: 'lease-acquired', resource: state.settings.resource, epoch: held.epoch },
        ]
      : [];
  return { state: { ...state, held, nextCallAt }, effects };
}

/**
 * The row names this life of this daemon: a write whose answer was lost took effect, or the lease
 * is simply still held. Authority already known for the same epoch stays; none is assumed.
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
      log(LEASE_EVENTS.acquired, { ...fields(state), epoch: held.epoch }),
      { kind: 'lease-acquired', resource: state.settings.resource, epoch: held.epoch },
    ],
  };
}

function depose(state: LeaseState, context: StepContext): LeaseTransition {
  const epoch = state.held?.epoch ?? 0;
  const wasReleased = state.stopping || !state.candidate;
  return {
    state: { ...state, held: null, nextCallAt: nextObservation(state, context) },
    effects: [
      log(wasReleased ? LEASE_EVENTS.released : LEASE_EVENTS.deposed, { ...fields(state), epoch }),
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
      log(LEASE_EVENTS.released, { ...fields(state), epoch }),
      { kind: 'lease-lost', resource: state.settings.resource, epoch, reason: 'released' },
    ],
  };
}

/** When an observer looks next: soon at a free lease, at the latest when a held one may lapse. */
function nextObservation(state: LeaseState, context: StepContext): MonotonicMs {
  const observed = state.observed;
  const spread = jittered(0, ACQUIRE_SPREAD_MS, context.entropy);
  if (observed === null || state.uncertain || isFree(observed)) return context.now + spread;
  const span = renewalSpan(state);
  const poll = context.now + jittered(span * RENEWAL_LEAST_SHARE, span, context.entropy);
  return Math.min(poll, lapsesAt(state.settings, observed) + spread);
}

function renewalSpan(state: LeaseState): Milliseconds {
  return state.settings.durationMs * RENEWAL_SHARE;
}

function fields(state: LeaseState): { readonly resource: string } {
  return { resource: state.settings.resource };
}
