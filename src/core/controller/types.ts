/**
 * The events, effects and settings of a pool's controller.
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
  /** How long after an acknowledged intake closing all grants have lapsed: `GRANT_LAPSE_MS`. */
  readonly grantLapseMs: Milliseconds;
  /** The time limit of a drain; a drain that exceeds it is abandoned and the intake reopened. */
  readonly drainTimeoutMs: Milliseconds;
  /** The maximum share of the pool that planned changes may keep out of service (min. 1 engine). */
  readonly maxOutOfServiceShare: number;
  /**
   * The number of engines of a model that must keep serving while another is out of service; less
   * when no more engines hold the model.
   */
  readonly minServing: number;
  /** The maximum age of a report for its engine to count as serving. */
  readonly maxReportAgeMs: Milliseconds;
}

/** The default limits of a controller. */
export const DEFAULT_CONTROLLER_LIMITS = {
  drainTimeoutMs: 60_000,
  maxOutOfServiceShare: 0.25,
  minServing: 1,
  maxReportAgeMs: 3_000,
} as const;

/** The desired state of one engine. */
export interface DesiredEngine {
  readonly engine: BackendName;
  /** Null leaves the role unchanged. */
  readonly role: EngineRole | null;
  /** The exact models and adapters to hold; null leaves them unchanged. */
  readonly models: readonly LoadedModel[] | null;
  /** The reason, shown by `explain engine`. */
  readonly reason: string;
}

/** The answer to a query of an order's state. `lost`: the query or its answer was lost. */
export type OrderQueryResult = EngineOrderState | 'unknown' | 'lost';

/** The events of a controller. The shell answers every effect; `lost` means an unknown outcome. */
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

/** The requests to the engine shell, which checks `maySendUnder` before it writes. */
export type ControllerEffect =
  | { readonly kind: 'send-order'; readonly order: Order; readonly endpoint: Endpoint }
  | {
      readonly kind: 'query-order';
      readonly engine: BackendName;
      readonly orderId: OrderId;
      readonly endpoint: Endpoint;
    };

/** All effects of a controller. */
export type ControllerOutput = ControllerEffect | TableEffect | LogEffect;
