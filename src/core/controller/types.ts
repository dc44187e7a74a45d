/**
 * What the controller of a pool is told, what it asks for, and its settings.
 */
import type { BackendName, OrderId, PoolName } from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';
import type { Authority } from '../lease/index.js';
import type { LogEffect } from '../logging/log-event.js';
import type { Order, OrderAnswer } from '../orders/index.js';
import type { TableEffect, TableResultEvent } from '../platform/table.js';
import type {
  Endpoint,
  EngineOrderState,
  EngineRole,
  EngineView,
  Fence,
  LoadedModel,
} from '../registry/backend.js';

/** Limits of one pool's controller. */
export interface ControllerSettings {
  readonly pool: PoolName;
  /** How long after an acknowledged closing no grant is left: `GRANT_LAPSE_MS`. */
  readonly grantLapseMs: Milliseconds;
  /** A drain that has not ended after this long is abandoned and undone. */
  readonly drainTimeoutMs: Milliseconds;
  /** The most engines that planned changes may keep away at once, as a share of the pool. */
  readonly maxOutOfServiceShare: number;
  /** Engines that must go on serving while another is away; at most one less than the pool has. */
  readonly minServing: number;
  /** How old a report may be for its engine to count as serving. */
  readonly maxReportAgeMs: Milliseconds;
}

/** Settings of a controller unless the daemon's say otherwise. */
export const DEFAULT_CONTROLLER_LIMITS = {
  drainTimeoutMs: 60_000,
  maxOutOfServiceShare: 0.25,
  minServing: 1,
  maxReportAgeMs: 3_000,
} as const;

/** The state wanted of one engine. */
export interface DesiredEngine {
  readonly engine: BackendName;
  /** Null leaves the role as it is. */
  readonly role: EngineRole | null;
  /** The models and adapters to hold, and no others; null leaves them as they are. */
  readonly models: readonly LoadedModel[] | null;
  /** Why, for `explain engine`. */
  readonly reason: string;
}

/** What an engine says of an order. `lost`: the question or its answer was lost. */
export type OrderQueryResult = EngineOrderState | 'unknown' | 'lost';

/** What a controller reacts to. The shell answers every effect, with `lost` where it can't tell. */
export type ControllerEvent =
  | {
      readonly kind: 'tick';
      /** The authority of this daemon's lease of the pool, or null. */
      readonly authority: Authority | null;
      readonly engines: readonly EngineView[];
      readonly desired: readonly DesiredEngine[];
    }
  | TableResultEvent
  | {
      readonly kind: 'order-answer';
      readonly engine: BackendName;
      readonly orderId: OrderId;
      readonly fence: Fence;
      readonly answer: OrderAnswer;
    }
  | {
      readonly kind: 'order-state';
      readonly engine: BackendName;
      readonly orderId: OrderId;
      readonly state: OrderQueryResult;
    };

/** What a controller asks the engine shell for. The shell checks `maySendUnder` before it writes. */
export type ControllerEffect =
  | { readonly kind: 'send-order'; readonly order: Order; readonly endpoint: Endpoint }
  | {
      readonly kind: 'query-order';
      readonly engine: BackendName;
      readonly orderId: OrderId;
      readonly endpoint: Endpoint;
    };

/** Everything that a controller asks for. */
export type ControllerOutput = ControllerEffect | TableEffect | LogEffect;
