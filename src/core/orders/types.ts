/**
 * Orders to engines and the durable intent rows written before them.
 */
import type {
  AdapterName,
  BackendName,
  BootId,
  ModelName,
  OrderId,
  VersionName,
} from '../common/identifiers.js';
import type { EngineOrderState, EngineRole, Fence, Intake } from '../registry/backend.js';

/** The action that an order requests. `hold` changes only the fence and the intake label. */
export type OrderAction =
  | { readonly kind: 'hold'; readonly intake: Intake }
  | { readonly kind: 'set-role'; readonly role: EngineRole }
  | { readonly kind: 'load-model'; readonly model: ModelName; readonly version: VersionName }
  | { readonly kind: 'unload-model'; readonly model: ModelName; readonly version: VersionName }
  | {
      readonly kind: 'load-adapter';
      readonly model: ModelName;
      readonly adapter: AdapterName;
      readonly version: VersionName;
    }
  | { readonly kind: 'unload-adapter'; readonly model: ModelName; readonly adapter: AdapterName };

/** An order as it is sent to an engine. */
export interface Order {
  readonly id: OrderId;
  readonly engine: BackendName;
  /** The engine boot that the order is for; an engine under another boot refuses the order. */
  readonly boot: BootId;
  readonly fence: Fence;
  readonly action: OrderAction;
  /** Refuse with `busy` instead of running the order while requests are active. */
  readonly onlyIfIdle: boolean;
}

/** An engine's answer. State `failed` occurs only for a repeated order that failed meanwhile. */
export type OrderAnswer =
  | { readonly kind: 'accepted'; readonly state: EngineOrderState }
  | {
      readonly kind: 'refused';
      readonly reason: 'stale-fence' | 'wrong-boot' | 'busy' | 'other-order' | 'invalid';
      readonly fence: Fence | null;
      readonly boot: BootId;
    }
  | { readonly kind: 'lost'; readonly reason: string };

/** The phases of an intent. The engine's next intent may be written only after `settled`. */
export type IntentPhase = 'draining' | 'ordered' | 'settled';

/** The value of the row `intent/<engine>`: at most one unresolved order for each engine. */
export interface IntentRow {
  readonly orderId: OrderId;
  /** The engine boot that the order is for. An engine under another boot refuses the order. */
  readonly boot: BootId;
  readonly action: OrderAction;
  readonly epoch: number;
  readonly phase: IntentPhase;
  readonly outcome: 'pending' | 'done' | 'failed' | 'abandoned';
  /** The reason for the order, shown by `explain engine`. */
  readonly reason: string;
}
