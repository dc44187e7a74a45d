/**
 * A model engine as an immutable value: the smallest engine that conforms to docs/ENGINE-API.md.
 */

import type { Order, OrderAnswer } from '../../core/orders/index.js';
import { compareFences } from '../../core/orders/index.js';
import type {
  EngineOrderState,
  EngineReport,
  EngineRole,
  Fence,
  Intake,
  LoadedModel,
} from '../../core/registry/backend.js';

/** An order that an engine has accepted since it booted. */
interface TakenOrder {
  readonly order: Order;
  readonly state: EngineOrderState;
}

/** An engine during one boot. */
export interface ModelEngine {
  readonly name: string;
  readonly boot: number;
  readonly fence: Fence | null;
  /** The id of the order that set the fence; an equal fence under another id is refused. */
  readonly fenceOrderId: string | null;
  readonly intake: Intake;
  readonly role: EngineRole;
  readonly models: readonly LoadedModel[];
  readonly acceptedOrders: readonly TakenOrder[];
  readonly active: number;
}

/** An engine just started. */
export function startedEngine(
  name: string,
  boot: number,
  models: readonly LoadedModel[],
): ModelEngine {
  return {
    name,
    boot,
    fence: null,
    fenceOrderId: null,
    intake: 'open',
    role: 'mixed',
    models,
    acceptedOrders: [],
    active: 0,
  };
}

/** The engine's boot id as it reports it. */
export function bootId(engine: ModelEngine): string {
  return `boot-${engine.boot}`;
}

/** The order that the engine is carrying out, if any; it serves no requests meanwhile. */
export function runningOrder(engine: ModelEngine): Order | null {
  return engine.acceptedOrders.find((taken) => taken.state === 'running')?.order ?? null;
}

/** The engine's protections; a mutation sets one to false. */
export interface EngineProtections {
  readonly fences: boolean;
}

/** Accepts or refuses an order as docs/ENGINE-API.md specifies. */
export function handleOrder(
  engine: ModelEngine,
  order: Order,
  protections: EngineProtections = { fences: true },
): { readonly engine: ModelEngine; readonly answer: OrderAnswer } {
  if (order.boot !== bootId(engine)) return { engine, answer: refusal(engine, 'wrong-boot') };
  const known = engine.acceptedOrders.find((taken) => taken.order.id === order.id);
  const stale = isStaleFor(engine, order) && protections.fences;
  if (stale) return { engine, answer: refusal(engine, 'stale-fence') };
  const fenced = raiseFence(engine, order);
  if (known !== undefined)
    return { engine: fenced, answer: { kind: 'accepted', state: known.state } };
  if (order.action.kind === 'hold') {
    return {
      engine: { ...fenced, intake: order.action.intake },
      answer: { kind: 'accepted', state: 'done' },
    };
  }
  if (runningOrder(engine) !== null)
    return { engine: fenced, answer: refusal(fenced, 'other-order') };
  if (order.onlyIfIdle && engine.active > 0)
    return { engine: fenced, answer: refusal(fenced, 'busy') };
  const taken = [...engine.acceptedOrders, { order, state: 'running' as const }];
  return {
    engine: { ...fenced, acceptedOrders: taken },
    answer: { kind: 'accepted', state: 'running' },
  };
}

function isStaleFor(engine: ModelEngine, order: Order): boolean {
  if (engine.fence === null) return false;
  const comparison = compareFences(order.fence, engine.fence);
  return comparison < 0 || (comparison === 0 && engine.fenceOrderId !== order.id);
}

function raiseFence(engine: ModelEngine, order: Order): ModelEngine {
  return { ...engine, fence: order.fence, fenceOrderId: order.id };
}

function refusal(
  engine: ModelEngine,
  reason: Extract<OrderAnswer, { kind: 'refused' }>['reason'],
): OrderAnswer {
  return { kind: 'refused', reason, fence: engine.fence, boot: bootId(engine) };
}

/** Ends the running order. */
export function finishOrder(engine: ModelEngine, state: 'done' | 'failed'): ModelEngine {
  const running = runningOrder(engine);
  if (running === null) return engine;
  const taken = engine.acceptedOrders.map((each) =>
    each.order.id === running.id ? { ...each, state } : each,
  );
  const changed = state === 'done' ? withEffect(engine, running) : engine;
  return { ...changed, acceptedOrders: taken };
}

function withEffect(engine: ModelEngine, order: Order): ModelEngine {
  const action = order.action;
  switch (action.kind) {
    case 'set-role':
      return { ...engine, role: action.role };
    case 'load-model': {
      const others = engine.models.filter((model) => model.model !== action.model);
      const loaded = { model: action.model, version: action.version, adapters: [] };
      return { ...engine, models: [...others, loaded] };
    }
    case 'unload-model':
      return { ...engine, models: engine.models.filter((model) => model.model !== action.model) };
    default:
      return engine;
  }
}

/** The state of an order as the engine reports it. */
export function orderState(engine: ModelEngine, orderId: string): EngineOrderState | 'unknown' {
  return engine.acceptedOrders.find((taken) => taken.order.id === orderId)?.state ?? 'unknown';
}

const reports = new WeakMap<ModelEngine, EngineReport>();

/** The engine's report, cached per engine value: one shared object is cheap to compare. */
export function reportOf(engine: ModelEngine): EngineReport {
  const known = reports.get(engine);
  if (known !== undefined) return known;
  const report = buildReport(engine);
  reports.set(engine, report);
  return report;
}

function buildReport(engine: ModelEngine): EngineReport {
  const last = engine.acceptedOrders.at(-1);
  return {
    engine: engine.name,
    boot: bootId(engine),
    role: engine.role,
    intake: engine.intake,
    busy: runningOrder(engine) !== null,
    leaving: false,
    models: engine.models,
    fence: engine.fence,
    lastOrder: last === undefined ? null : { id: last.order.id, state: last.state },
    maxBatch: 8,
    activeRequests: engine.active,
    load: {
      ageMs: 0,
      running: engine.active,
      queued: 0,
      queuedPrefillTokens: 0,
      kvUsed: 0,
      prefillTokensPerSecond: 0,
      decodeStepMs: 0,
    },
  };
}
