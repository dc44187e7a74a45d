/**
 * How many engines of a pool planned changes may keep away at once, and which must stay.
 */
import type { BackendName, ModelName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { isUnresolved } from '../orders/index.js';
import type { EngineView } from '../registry/backend.js';
import type { ControllerState, EngineControl } from './state.js';

/** The pool's engines as the limits count them. Taken anew after each change that is begun. */
export interface PoolAvailability {
  readonly poolSize: number;
  readonly outOfService: ReadonlySet<BackendName>;
  /** The engines that take work now, by the models that they hold. */
  readonly serving: ReadonlyMap<ModelName, ReadonlySet<BackendName>>;
  /** The engines that hold a model or are to hold it, whether they take work or not. */
  readonly holding: ReadonlyMap<ModelName, ReadonlySet<BackendName>>;
}

/** Counts the pool. */
export function computePoolAvailability(
  state: ControllerState,
  now: MonotonicMs,
): PoolAvailability {
  const outOfService = new Set<BackendName>();
  const serving = new Map<ModelName, Set<BackendName>>();
  const holding = new Map<ModelName, Set<BackendName>>();
  for (const [engine, view] of state.views) {
    const control = state.engines.get(engine);
    if (control === undefined || isAway(control)) outOfService.add(engine);
    // The last report of an engine that is being drained may still call it open.
    const isServing =
      !outOfService.has(engine) && takesWork(view, now, state.settings.maxReportAgeMs);
    for (const { model } of view.report?.models ?? []) {
      if (isServing) add(serving, model, engine);
      add(holding, model, engine);
    }
    for (const { model } of state.desired.get(engine)?.models ?? []) add(holding, model, engine);
  }
  return { poolSize: state.views.size, outOfService, serving, holding };
}

/** Whether an engine may be taken away now without breaking the pool's limits. */
export function mayTakeOutOfService(
  state: ControllerState,
  availability: PoolAvailability,
  engine: BackendName,
): boolean {
  const { maxOutOfServiceShare, minServing } = state.settings;
  const mostAway = Math.max(1, Math.floor(availability.poolSize * maxOutOfServiceShare));
  if (countOthers(availability.outOfService, engine) >= mostAway) return false;
  for (const [model, servers] of availability.serving) {
    if (!servers.has(engine)) continue;
    // The only engine of a model has no stand-in; its change is wanted all the same.
    const others = countOthers(availability.holding.get(model), engine);
    if (countOthers(servers, engine) < Math.min(minServing, others)) return false;
  }
  return true;
}

function add(
  engines: Map<ModelName, Set<BackendName>>,
  model: ModelName,
  engine: BackendName,
): void {
  const known = engines.get(model);
  if (known === undefined) engines.set(model, new Set([engine]));
  else known.add(engine);
}

function countOthers(engines: ReadonlySet<BackendName> | undefined, engine: BackendName): number {
  if (engines === undefined) return 0;
  return engines.has(engine) ? engines.size - 1 : engines.size;
}

/** Whether a planned change keeps the engine away, or might for all that is known. */
function isAway(control: EngineControl): boolean {
  if (control.intent === null || control.write !== null) return true;
  return isUnresolved(control.intent.value) || control.intake === 'closed';
}

function takesWork(view: EngineView, now: MonotonicMs, freshMs: number): boolean {
  const report = view.report;
  if (report === null || now > view.reportedAt + freshMs) return false;
  if (view.machine.state === 'leaving' || report.leaving || report.busy) return false;
  return report.intake === 'open';
}
