/**
 * The engine's handling of fenced orders: the highest fence seen, the intake label, and the state of
 * each order of this boot. The rules are in docs/ENGINE-API.md.
 */
import type { BootId, OrderId } from '../../core/common/identifiers.js';
import { compareFences, type Order, type OrderAnswer } from '../../core/orders/index.js';
import type { EngineOrderState, Fence, Intake } from '../../core/registry/backend.js';

type RefusalReason = Extract<OrderAnswer, { kind: 'refused' }>['reason'];

/** The decision on an order: an immediate answer, or an order for the engine to run. */
export type OrderDecision =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer }
  | { readonly kind: 'run'; readonly order: Order };

/** The orders of one boot. */
export class OrderBook {
  readonly #boot: BootId;
  readonly #states = new Map<OrderId, EngineOrderState>();
  #fence: Fence | null = null;
  /** The order that set the highest fence. */
  #fenceOrder: OrderId | null = null;
  #running: Order | null = null;
  #last: OrderId | null = null;
  #intake: Intake = 'open';

  constructor(boot: BootId) {
    this.#boot = boot;
  }

  get fence(): Fence | null {
    return this.#fence;
  }

  get intake(): Intake {
    return this.#intake;
  }

  /** The order under way, or null. */
  get running(): Order | null {
    return this.#running;
  }

  /** The last accepted order, with its state. */
  get lastOrder(): { readonly id: OrderId; readonly state: EngineOrderState } | null {
    const state = this.#last === null ? undefined : this.#states.get(this.#last);
    return this.#last === null || state === undefined ? null : { id: this.#last, state };
  }

  /** The state of an order. */
  stateOf(id: OrderId): EngineOrderState | 'unknown' {
    return this.#states.get(id) ?? 'unknown';
  }

  /** Checks an order against boot and fence, and raises the fence. */
  receive(order: Order, activeRequests: number): OrderDecision {
    if (order.boot !== this.#boot) return this.#refuse('wrong-boot');
    if (this.#isStale(order)) return this.#refuse('stale-fence');
    this.#fence = order.fence;
    this.#fenceOrder = order.id;
    const known = this.#states.get(order.id);
    if (known !== undefined) return accepted(known);
    if (order.action.kind === 'hold') return this.#hold(order, order.action.intake);
    if (this.#running !== null) return this.#refuse('other-order');
    if (order.onlyIfIdle && activeRequests > 0) return this.#refuse('busy');
    return { kind: 'run', order };
  }

  /** The refusal of an order that passed `receive` but that the engine cannot execute. */
  invalid(): OrderAnswer {
    return this.#refusal('invalid');
  }

  /** Marks an order as running. */
  begin(order: Order): void {
    this.#running = order;
    this.#last = order.id;
    this.#states.set(order.id, 'running');
  }

  /** Marks an order as ended, whether or not it took time. */
  end(order: Order, state: 'done' | 'failed'): void {
    this.#running = null;
    this.#last = order.id;
    this.#states.set(order.id, state);
  }

  #hold(order: Order, intake: Intake): OrderDecision {
    this.#intake = intake;
    this.#states.set(order.id, 'done');
    if (this.#running === null) this.#last = order.id;
    return accepted('done');
  }

  #isStale(order: Order): boolean {
    if (this.#fence === null) return false;
    const difference = compareFences(order.fence, this.#fence);
    return difference < 0 || (difference === 0 && order.id !== this.#fenceOrder);
  }

  #refuse(reason: RefusalReason): OrderDecision {
    return { kind: 'answered', answer: this.#refusal(reason) };
  }

  #refusal(reason: RefusalReason): OrderAnswer {
    return { kind: 'refused', reason, fence: this.#fence, boot: this.#boot };
  }
}

function accepted(state: EngineOrderState): OrderDecision {
  return { kind: 'answered', answer: { kind: 'accepted', state } };
}
