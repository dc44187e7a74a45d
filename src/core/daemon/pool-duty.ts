/**
 * A daemon's part in controlling one pool: the pool's lease, and the controller that acts while the
 * lease gives authority.
 */
import type { DaemonName, Incarnation, PoolName } from '../common/identifiers.js';
import type { StepContext, Transition } from '../common/transition.js';
import {
  type ControllerEvent,
  type ControllerOutput,
  type ControllerState,
  DEFAULT_CONTROLLER_LIMITS,
  type DesiredEngine,
  initialControllerState,
  resourceOfPool,
  stepController,
} from '../controller/index.js';
import {
  authorityOf,
  DEFAULT_LEASE_DURATION_MS,
  DEFAULT_LEASE_MARGIN_MS,
  initialLeaseState,
  isReleased,
  type LeaseEvent,
  type LeaseOutput,
  type LeaseState,
  stepLease,
} from '../lease/index.js';
import type { EngineView } from '../registry/backend.js';
import { GRANT_LAPSE_MS } from '../registry/grant.js';

/** The lease and controller of one pool on this daemon. */
export interface PoolDuty {
  readonly pool: PoolName;
  readonly lease: LeaseState;
  readonly controller: ControllerState;
}

/** What a duty asks for. */
export type PoolDutyOutput = LeaseOutput | ControllerOutput;

/** What a duty is told at each tick. */
export interface PoolDutyInputs {
  readonly candidate: boolean;
  readonly engines: readonly EngineView[];
  readonly desired: readonly DesiredEngine[];
}

/** Events that concern pools. */
export type PoolDutyEvent =
  | Exclude<ControllerEvent, { kind: 'tick' }>
  | { readonly kind: 'stop' }
  | ({ readonly kind: 'tick' } & PoolDutyInputs);

/** A duty that has not begun. */
export function initialPoolDuty(
  pool: PoolName,
  daemon: DaemonName,
  incarnation: Incarnation,
): PoolDuty {
  return {
    pool,
    lease: initialLeaseState({
      resource: resourceOfPool(pool),
      daemon,
      incarnation,
      durationMs: DEFAULT_LEASE_DURATION_MS,
      marginMs: DEFAULT_LEASE_MARGIN_MS,
    }),
    controller: initialControllerState({
      pool,
      grantLapseMs: GRANT_LAPSE_MS,
      ...DEFAULT_CONTROLLER_LIMITS,
    }),
  };
}

/** One step of a duty. */
export function stepPoolDuty(
  duty: PoolDuty,
  event: PoolDutyEvent,
  context: StepContext,
): Transition<PoolDuty, PoolDutyOutput> {
  switch (event.kind) {
    case 'stop':
      return stepLeaseOf(duty, { kind: 'release' }, context);
    case 'table-result': {
      const leased = stepLeaseOf(duty, event, context);
      return followedBy(leased, (next) => stepControllerOf(next, event, context));
    }
    case 'tick': {
      const wanted = stepLeaseOf(duty, { kind: 'want', candidate: event.candidate }, context);
      const leased = followedBy(wanted, (next) => stepLeaseOf(next, { kind: 'tick' }, context));
      return followedBy(leased, (next) =>
        stepControllerOf(next, controllerTick(next, event), context),
      );
    }
    default:
      return stepControllerOf(duty, event, context);
  }
}

/** Whether a stopping daemon has given up the duty. */
export function isDutyReleased(duty: PoolDuty): boolean {
  return isReleased(duty.lease);
}

function controllerTick(duty: PoolDuty, inputs: PoolDutyInputs): ControllerEvent {
  const { engines, desired } = inputs;
  return { kind: 'tick', authority: authorityOf(duty.lease), engines, desired };
}

function stepLeaseOf(
  duty: PoolDuty,
  event: LeaseEvent,
  context: StepContext,
): Transition<PoolDuty, PoolDutyOutput> {
  const { state, effects } = stepLease(duty.lease, event, context);
  return { state: { ...duty, lease: state }, effects };
}

function stepControllerOf(
  duty: PoolDuty,
  event: ControllerEvent,
  context: StepContext,
): Transition<PoolDuty, PoolDutyOutput> {
  const { state, effects } = stepController(duty.controller, event, context);
  return { state: { ...duty, controller: state }, effects };
}

function followedBy(
  first: Transition<PoolDuty, PoolDutyOutput>,
  next: (duty: PoolDuty) => Transition<PoolDuty, PoolDutyOutput>,
): Transition<PoolDuty, PoolDutyOutput> {
  const second = next(first.state);
  return { state: second.state, effects: [...first.effects, ...second.effects] };
}
