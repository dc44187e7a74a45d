/**
 * Handles engines' answers to orders and to queries of an order's state.
 */
import { backoff } from '../common/jitter.js';
import type { Milliseconds } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import { ORDER_EVENTS } from '../logging/catalogue/orders.js';
import { log } from '../logging/log-event.js';
import type { OrderAnswer } from '../orders/index.js';
import type { EngineOrderState } from '../registry/backend.js';
import { withControl } from './moves.js';
import type { ControllerState, EngineControl, OrderProgress, PendingSend } from './state.js';
import type { ControllerEvent, ControllerOutput, OrderQueryResult } from './types.js';

type ControllerTransition = Transition<ControllerState, ControllerOutput>;
type PendingOrder = Exclude<PendingSend, { kind: 'query' }>;
type Refusal = Extract<OrderAnswer, { kind: 'refused' }>;

/** The interval of queries for a running order's state. */
const ORDER_POLL_MS: Milliseconds = 200;
const SEND_BACKOFF = { firstMs: 100, maxMs: 3_000 } as const;

/** Handles the answer to a hold or an order; answers that are no longer awaited are ignored. */
export function receiveOrderAnswer(
  state: ControllerState,
  event: Extract<ControllerEvent, { kind: 'order-answer' }>,
  context: StepContext,
): ControllerTransition {
  const control = state.engines.get(event.engine);
  const send = control?.send ?? null;
  if (control === undefined || send === null || send.kind === 'query') return unchanged(state);
  if (send.orderId !== event.orderId || send.fence.sequence !== event.fence.sequence) {
    return unchanged(state);
  }
  if (send.fence.epoch !== event.fence.epoch) return unchanged(state);
  const answered: EngineControl = { ...control, send: null };
  switch (event.answer.kind) {
    case 'lost':
      return update(state, retryLater(answered, context));
    case 'accepted':
      return update(state, accepted(answered, send, event.answer.state, context));
    case 'refused':
      return refused(state, answered, send, event.answer, context);
  }
}

/** Handles an engine's answer to a query of an order's state. */
export function receiveOrderState(
  state: ControllerState,
  event: Extract<ControllerEvent, { kind: 'order-state' }>,
  context: StepContext,
): ControllerTransition {
  const control = state.engines.get(event.engine);
  if (control?.send?.kind !== 'query' || control.send.orderId !== event.orderId)
    return unchanged(state);
  const answered: EngineControl = { ...control, send: null };
  if (event.state === 'lost') return update(state, retryLater(answered, context));
  const progress = progressOf(event.state);
  const retryAt = progress === 'running' ? context.now + ORDER_POLL_MS : control.retryAt;
  return update(state, { ...answered, progress, retryAt, failures: 0 });
}

function progressOf(state: Exclude<OrderQueryResult, 'lost'>): OrderProgress {
  return state === 'unknown' ? 'not-run' : state;
}

function accepted(
  control: EngineControl,
  send: PendingOrder,
  orderState: EngineOrderState,
  context: StepContext,
): EngineControl {
  if (send.kind === 'hold') return holdAccepted(control, send, context);
  const retryAt = orderState === 'running' ? context.now + ORDER_POLL_MS : control.retryAt;
  return { ...control, progress: orderState, retryAt, failures: 0 };
}

/**
 * The engine acknowledged a higher fence. A delayed copy of an order reported as not run may have
 * started before that, so the order's state is queried again.
 */
function holdAccepted(
  control: EngineControl,
  send: Extract<PendingSend, { kind: 'hold' }>,
  context: StepContext,
): EngineControl {
  const closedAt = send.intake === 'closed' ? (control.closedAt ?? context.now) : null;
  return {
    ...control,
    fencedBoot: send.boot,
    fencedSequence: send.fence.sequence,
    intake: send.intake,
    closedAt,
    progress: control.progress === 'not-run' ? 'unasked' : control.progress,
    failures: 0,
  };
}

function refused(
  state: ControllerState,
  control: EngineControl,
  send: PendingOrder,
  answer: Refusal,
  context: StepContext,
): ControllerTransition {
  const later = retryLater(control, context);
  switch (answer.reason) {
    case 'wrong-boot':
      return update(state, markBootEnded(later, send.boot), [
        log(ORDER_EVENTS.engineRestarted, { engine: control.engine, order: send.orderId }),
      ]);
    case 'stale-fence':
      return staleFence(state, later, answer);
    case 'invalid':
      return update(state, send.kind === 'order' ? { ...later, progress: 'failed' } : later);
    case 'busy':
      return update(state, { ...later, progress: 'not-run', busyAt: context.now });
    case 'other-order':
      return update(state, send.kind === 'order' ? { ...later, progress: 'not-run' } : later);
  }
}

function markBootEnded(control: EngineControl, boot: string): EngineControl {
  return { ...control, endedBoot: boot, fencedBoot: null, intake: null, closedAt: null };
}

function staleFence(
  state: ControllerState,
  control: EngineControl,
  answer: Refusal,
): ControllerTransition {
  const own = state.authority?.epoch ?? 0;
  const highest = answer.fence;
  if (highest !== null && highest.epoch > own) {
    const fields = { engine: control.engine, own, seen: highest.epoch };
    return update(state, { ...control, outranked: true }, [log(ORDER_EVENTS.outranked, fields)]);
  }
  const sequence = Math.max(control.sequence, highest?.sequence ?? 0);
  return update(state, { ...control, sequence });
}

function retryLater(control: EngineControl, context: StepContext): EngineControl {
  const failures = control.failures + 1;
  const wait = backoff(SEND_BACKOFF, failures, context.entropy);
  return { ...control, failures, retryAt: context.now + wait };
}

function update(
  state: ControllerState,
  control: EngineControl,
  effects: readonly ControllerOutput[] = [],
): ControllerTransition {
  return { state: withControl(state, control), effects };
}

function unchanged(state: ControllerState): ControllerTransition {
  return { state, effects: [] };
}
