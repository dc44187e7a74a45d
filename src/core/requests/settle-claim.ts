/**
 * Settles a request's claim row after the request has ended: records the outcome or deletes the
 * row, by a write that is conditional on the claim's version. The write is retried with exponential
 * back-off until the table service answers.
 */
import type { Milliseconds } from '../common/time.js';
import { REQUEST_EVENTS } from '../logging/catalogue/requests.js';
import { log } from '../logging/log-event.js';
import type { TableCall, TableEffect, TableResult } from '../platform/table.js';
import { claimKey, pendingClaim, readClaim } from './claim.js';
import type {
  RequestContext,
  RequestState,
  RequestTableEffect,
  RequestTransition,
  Settlement,
} from './request-state.js';

/** The first back-off; doubles with each try. */
const INITIAL_SETTLE_BACKOFF_MS: Milliseconds = 200;
/** Maximum back-off while the table service is unavailable. */
const MAX_SETTLE_BACKOFF_MS: Milliseconds = 30_000;
/** Number of read-backs without a row before an uncertain claim counts as never written. */
const MAX_READ_BACKS = 3;

type SettlingPhase = Extract<RequestState['phase'], { kind: 'settling' }>;

/** Builds the table call of a request. Each request has at most one call in flight. */
export function tableCall(state: RequestState, call: TableCall): TableEffect {
  return { kind: 'table', token: `request:${state.description.id}`, call };
}

/** Starts settling, with a write when the claim's version is known, else with a read-back. */
export function beginSettlement(
  state: RequestState,
  settlement: Settlement,
  context: RequestContext,
): RequestTransition {
  return sendSettlementCall(
    state,
    { kind: 'settling', settlement, step: 'write', tries: 0, nextAt: 0 },
    context,
  );
}

/** Handles the table service's answer to a settlement call. */
export function handleSettlementResult(
  state: RequestState,
  phase: SettlingPhase,
  result: TableResult,
  context: RequestContext,
): RequestTransition {
  switch (result.kind) {
    case 'committed':
      return finishSettlement(state);
    case 'unavailable':
      return backOff(state, phase, result.retryAfterMs, context);
    case 'lost':
      return backOff(state, phase, 0, context);
    case 'rows':
      return handleReadBack(state, phase, result, context);
    case 'conflict':
      return handleConflict(state, result);
  }
}

/** Retries once the back-off has expired. */
export function handleSettlementTick(
  state: RequestState,
  phase: SettlingPhase,
  context: RequestContext,
): RequestTransition {
  if (phase.step !== 'backing-off' || context.now < phase.nextAt) return { state, effects: [] };
  return sendSettlementCall(state, phase, context);
}

function sendSettlementCall(
  state: RequestState,
  phase: SettlingPhase,
  context: RequestContext,
): RequestTransition {
  const key = claimKey(state.description) ?? '';
  const isHeld = state.claim.kind === 'held';
  const call: TableCall = isHeld
    ? {
        kind: 'transact',
        checks: [{ key, version: state.claim.version }],
        writes: [{ key, value: finalValue(state, phase.settlement, context) }],
      }
    : { kind: 'get', keys: [key] };
  const step = isHeld ? 'write' : 'read-back';
  return { state: { ...state, phase: { ...phase, step } }, effects: [tableCall(state, call)] };
}

function finalValue(state: RequestState, settlement: Settlement, context: RequestContext): unknown {
  if (settlement.kind === 'release') return null;
  return { ...pendingClaim(state.description, context), outcome: settlement.outcome };
}

function handleReadBack(
  state: RequestState,
  phase: SettlingPhase,
  result: Extract<TableResult, { kind: 'rows' }>,
  context: RequestContext,
): RequestTransition {
  const finding = readClaim(result.rows[0], state.description, () => false);
  if (finding.kind === 'own') {
    return sendSettlementCall(
      { ...state, claim: { kind: 'held', version: finding.version } },
      phase,
      context,
    );
  }
  if (finding.kind === 'absent' && phase.tries + 1 < MAX_READ_BACKS) {
    return backOff(state, phase, 0, context);
  }
  return finishSettlement(state);
}

/**
 * Ends the settlement after a version conflict. A row that is absent or this request's own was
 * changed by an earlier write of this request whose answer was lost; any other row means that
 * another request took over the claim.
 */
function handleConflict(
  state: RequestState,
  result: Extract<TableResult, { kind: 'conflict' }>,
): RequestTransition {
  const finding = readClaim(result.rows[0], state.description, () => false);
  const isOwn = finding.kind === 'absent' || finding.kind === 'own';
  const effects: RequestTableEffect[] = isOwn
    ? []
    : [log(REQUEST_EVENTS.claimTakenOver, { request: state.description.id })];
  return finishSettlement(state, effects);
}

function backOff(
  state: RequestState,
  phase: SettlingPhase,
  retryAfterMs: Milliseconds,
  context: RequestContext,
): RequestTransition {
  const ceiling = Math.min(
    MAX_SETTLE_BACKOFF_MS,
    INITIAL_SETTLE_BACKOFF_MS * 2 ** Math.min(phase.tries, 20),
  );
  const jittered = ceiling / 2 + (ceiling / 2) * (context.entropy / 2 ** 32);
  const nextAt = context.now + Math.max(retryAfterMs, jittered);
  const next: SettlingPhase = { ...phase, step: 'backing-off', tries: phase.tries + 1, nextAt };
  const effects: RequestTableEffect[] =
    phase.tries === 0
      ? [log(REQUEST_EVENTS.settlementDelayed, { request: state.description.id })]
      : [];
  return { state: { ...state, phase: next }, effects };
}

function finishSettlement(
  state: RequestState,
  effects: RequestTableEffect[] = [],
): RequestTransition {
  return { state: { ...state, phase: { kind: 'ended' } }, effects };
}
