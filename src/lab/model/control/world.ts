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

/** How often each kind of fault may happen in one run. */
export interface FaultBudget {
  readonly kills: number;
  readonly restarts: number;
  readonly pauses: number;
  /** Orders, queries and requests whose sender gives up on them while they are still on the way. */
  readonly lateMessages: number;
  readonly duplicates: number;
  /** Table calls whose sender gives up on them while they are still on the way. */
  readonly lateTableCalls: number;
  /** Table calls that take effect at once and are answered at any later time. */
  readonly slowTableAnswers: number;
  /** Spells in which a daemon can't reach the table. */
  readonly storeOutages: number;
  readonly engineCrashes: number;
  /** Times that the clock of a daemon that competes for the lease falls a tick behind. */
  readonly clockLags: number;
  /** Times that the dispatching daemon's clock does. */
  readonly dispatcherLags: number;
  readonly requests: number;
  /** Times that the desired role is taken back. */
  readonly reversals: number;
  readonly failedOrders: number;
}

/** No fault at all. */
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

/** Protections that a mutation takes away. */
export interface Protections {
  readonly fences: boolean;
  readonly margins: boolean;
  readonly barrier: boolean;
  readonly readBack: boolean;
  readonly versionCompare: boolean;
  /** Orders are refused by a busy engine. Not among the mutations of the brief. */
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
  /** How many ticks its clock is behind. */
  readonly lag: number;
  /** It has yet to act in this tick. */
  readonly due: boolean;
  readonly storeDown: boolean;
  readonly lease: LeaseState;
  readonly controller: ControllerState;
  readonly report: EngineReport | null;
  /** When the report was asked for, by its own clock. */
  readonly askedAt: number;
}

/** The daemon that sends requests to the engine. */
export interface Dispatcher {
  readonly lag: number;
  readonly report: EngineReport | null;
  readonly askedAt: number;
}

/** Who sent a message, and in which life. */
interface Sender {
  readonly daemon: number;
  readonly incarnation: number;
}

/** Something on its way. A message that is `late` may arrive at any time; its sender has given up. */
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

/** Everything there is. */
export interface ControlWorld {
  readonly now: number;
  readonly table: ModelTable;
  readonly daemons: readonly ControlDaemon[];
  readonly engine: ModelEngine;
  readonly dispatcher: Dispatcher;
  readonly messages: readonly Message[];
  readonly desiredRole: EngineRole;
  readonly budget: FaultBudget;
  /** The highest epoch that this life of the engine has been told. Kept for the properties only. */
  readonly highestEpoch: number;
}

/** A daemon of a new life. */
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
    askedAt: 0,
  };
}

/** The world before anything has happened. */
export function initialWorld(budget: FaultBudget, protections: Protections): ControlWorld {
  return {
    now: 10 * TICK_MS,
    table: EMPTY_TABLE,
    daemons: ['a', 'b'].map((name) => startedDaemon(name, 1, 0, protections)),
    engine: startedEngine(ENGINE, 1, [{ model: 'labels', version: '1', adapters: [] }]),
    dispatcher: { lag: 0, report: null, askedAt: 0 },
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
