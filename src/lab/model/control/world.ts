/**
 * The world of the control model: the table service, two daemons that run the production reducers
 * of lease and controller, one engine, one daemon that dispatches, and messages in flight.
 */
import {
  type ControllerState,
  DEFAULT_CONTROLLER_LIMITS,
  initialControllerState,
} from '../../../core/controller/index.js';
import { initialLeaseState, type LeaseState } from '../../../core/lease/index.js';
import type { Order, OrderAnswer } from '../../../core/orders/index.js';
import type { TableCall, TableResult } from '../../../core/platform/table.js';
import type { EngineOrderState, EngineReport, EngineRole } from '../../../core/registry/backend.js';
import { type ModelEngine, startedEngine } from '../engine.js';
import { EMPTY_TABLE, type ModelTable } from '../table.js';

/** One step of the model's clock, in the reducers' milliseconds. */
export const TICK_MS = 1_000;
/** The pool that the model's engine belongs to. */
const POOL = 'labels';
/** The lease that the two daemons compete for. */
export const RESOURCE = `pool/${POOL}`;
/** The model's one engine. */
export const ENGINE = 'engine-1';

/** How often each kind of fault may occur in one run. */
export interface FaultBudget {
  readonly kills: number;
  readonly restarts: number;
  readonly pauses: number;
  /** Orders, queries and requests that time out at the sender while they are still in flight. */
  readonly lateMessages: number;
  readonly duplicates: number;
  /** Table calls that time out at the sender while they are still in flight. */
  readonly lateTableCalls: number;
  /** Table calls that take effect at once and whose answer may arrive at any later time. */
  readonly slowTableAnswers: number;
  /** Periods in which one daemon can't reach the table. */
  readonly storeOutages: number;
  readonly engineCrashes: number;
  /** Times that the clock of a daemon that competes for the lease falls a tick behind. */
  readonly clockLags: number;
  /** Times that the clock of the dispatching daemon falls a tick behind. */
  readonly dispatcherLags: number;
  readonly requests: number;
  /** Times that the desired role is reverted. */
  readonly reversals: number;
  readonly failedOrders: number;
}

/** A budget without faults. */
export const NO_FAULTS: FaultBudget = {
  kills: 0,
  restarts: 0,
  pauses: 0,
  lateMessages: 0,
  duplicates: 0,
  lateTableCalls: 0,
  slowTableAnswers: 0,
  storeOutages: 0,
  engineCrashes: 0,
  clockLags: 0,
  dispatcherLags: 0,
  requests: 0,
  reversals: 0,
  failedOrders: 0,
};

/** Protections that a mutation removes. */
export interface Protections {
  readonly fences: boolean;
  readonly margins: boolean;
  readonly barrier: boolean;
  readonly readBack: boolean;
  readonly versionCompare: boolean;
  /** Orders carry `onlyIfIdle`, so that a busy engine refuses them. No mutation removes this alone. */
  readonly onlyIfIdle: boolean;
}

/** All protections in place. */
export const ALL_PROTECTIONS: Protections = {
  fences: true,
  margins: true,
  barrier: true,
  readBack: true,
  versionCompare: true,
  onlyIfIdle: true,
};

/** Durations in ticks. */
export const TICKS = {
  lease: 3,
  leaseMargin: 1,
  grant: 2,
  grantMargin: 1,
  drainLimit: Number.POSITIVE_INFINITY,
} as const;

/** A daemon that competes for the lease. */
export interface ControlDaemon {
  readonly name: string;
  readonly incarnation: number;
  readonly status: 'live' | 'paused' | 'dead';
  /** By how many ticks its clock is behind. */
  readonly lag: number;
  /** Whether it has yet to act in this tick. */
  readonly due: boolean;
  readonly storeDown: boolean;
  readonly lease: LeaseState;
  readonly controller: ControllerState;
  readonly report: EngineReport | null;
  /** When the report was requested, by the daemon's own clock. */
  readonly requestedAt: number;
}

/** The daemon that sends requests to the engine. */
export interface Dispatcher {
  readonly lag: number;
  readonly report: EngineReport | null;
  readonly requestedAt: number;
}

/** The daemon that sent a message, and its incarnation. */
interface Sender {
  readonly daemon: number;
  readonly incarnation: number;
}

/** A message in flight. A `late` message may arrive at any time, and its sender has stopped waiting. */
export type Message =
  | {
      readonly kind: 'table-call';
      readonly from: Sender;
      readonly token: string;
      readonly call: TableCall;
      readonly late: true;
    }
  | {
      readonly kind: 'table-answer';
      readonly from: Sender;
      readonly token: string;
      readonly result: TableResult;
      readonly late: true;
    }
  | { readonly kind: 'order'; readonly from: Sender; readonly order: Order; readonly late: boolean }
  | {
      readonly kind: 'order-answer';
      readonly from: Sender;
      readonly order: Order;
      readonly answer: OrderAnswer;
      readonly late: false;
    }
  | {
      readonly kind: 'query';
      readonly from: Sender;
      readonly orderId: string;
      readonly late: false;
    }
  | {
      readonly kind: 'query-answer';
      readonly from: Sender;
      readonly orderId: string;
      readonly state: EngineOrderState | 'unknown';
      readonly late: false;
    }
  | { readonly kind: 'request'; readonly late: boolean };

/** The complete state of the model. */
export interface ControlWorld {
  readonly now: number;
  readonly table: ModelTable;
  readonly daemons: readonly ControlDaemon[];
  readonly engine: ModelEngine;
  readonly dispatcher: Dispatcher;
  readonly messages: readonly Message[];
  readonly desiredRole: EngineRole;
  readonly budget: FaultBudget;
  /** The highest epoch that the engine has accepted since it booted. Used only to check properties. */
  readonly highestEpoch: number;
}

/** A daemon at the start of an incarnation. */
export function startedDaemon(
  name: string,
  incarnation: number,
  lag: number,
  protections: Protections,
): ControlDaemon {
  const margin = protections.margins ? 1 : 0;
  const settings = {
    resource: RESOURCE,
    daemon: name,
    incarnation,
    durationMs: TICKS.lease * TICK_MS,
    marginMs: TICKS.leaseMargin * TICK_MS * margin,
  };
  const lapseTicks = TICKS.grant + TICKS.grantMargin * margin;
  return {
    name,
    incarnation,
    status: 'live',
    lag,
    due: true,
    storeDown: false,
    lease: { ...initialLeaseState(settings), candidate: true },
    controller: initialControllerState({
      pool: POOL,
      ...DEFAULT_CONTROLLER_LIMITS,
      grantLapseMs: protections.barrier ? lapseTicks * TICK_MS : 0,
      drainTimeoutMs: TICKS.drainLimit * TICK_MS,
    }),
    report: null,
    requestedAt: 0,
  };
}

/** The world before the first step. */
export function initialWorld(budget: FaultBudget, protections: Protections): ControlWorld {
  return {
    now: 10 * TICK_MS,
    table: EMPTY_TABLE,
    daemons: ['a', 'b'].map((name) => startedDaemon(name, 1, 0, protections)),
    engine: startedEngine(ENGINE, 1, [{ model: 'labels', version: '1', adapters: [] }]),
    dispatcher: { lag: 0, report: null, requestedAt: 0 },
    messages: [],
    desiredRole: 'decode',
    budget,
    highestEpoch: 0,
  };
}

/** A daemon's own clock. */
export function clockOf(world: ControlWorld, daemon: { readonly lag: number }): number {
  return world.now - daemon.lag * TICK_MS;
}
