/** The models and adapters an engine holds in memory, and its role. */
import type { AdapterName, ModelName } from '../../core/common/identifiers.js';
import type { OrderAction } from '../../core/orders/types.js';
import type { EngineRole, LoadedAdapter, LoadedModel } from '../../core/registry/backend.js';

/** The model or adapter that a caller's model name resolves to on this engine. */
export interface ResolvedModel {
  readonly model: ModelName;
  readonly adapter: AdapterName | null;
  /** As in `system_fingerprint`. */
  readonly version: string;
}

/** The role and the loaded models of one engine. */
export class Inventory {
  #role: EngineRole;
  /** In order of loading. */
  #models: readonly LoadedModel[];

  constructor(role: EngineRole, models: readonly LoadedModel[]) {
    this.#role = role;
    this.#models = models;
  }

  get role(): EngineRole {
    return this.#role;
  }

  get models(): readonly LoadedModel[] {
    return this.#models;
  }

  /** Finds a model or adapter by the caller's name: the wanted version, or the newest if null. */
  resolve(name: string, wantedVersion: string | null): ResolvedModel | null {
    for (const held of [...this.#models].reverse()) {
      const resolved = resolveIn(held, name);
      if (resolved === null) continue;
      if (wantedVersion === null || wantedVersion === resolved.version) return resolved;
    }
    return null;
  }

  /** Whether the engine has what the action requires: the base model of an adapter to load. */
  canRun(action: OrderAction): boolean {
    if (action.kind === 'load-adapter') return this.#holds(action.model);
    return true;
  }

  /** Whether an action would change anything. */
  changes(action: OrderAction): boolean {
    switch (action.kind) {
      case 'hold':
        return false;
      case 'set-role':
        return action.role !== this.#role;
      case 'load-model':
        return !this.#holds(action.model, action.version);
      case 'unload-model':
        return this.#holds(action.model, action.version);
      case 'load-adapter':
        return this.#versionsOf(action.model).some(
          (held) => adapterOf(held, action.adapter)?.version !== action.version,
        );
      case 'unload-adapter':
        return this.#versionsOf(action.model).some(
          (held) => adapterOf(held, action.adapter) !== undefined,
        );
    }
  }

  /** Applies an action. */
  apply(action: OrderAction): void {
    switch (action.kind) {
      case 'hold':
        return;
      case 'set-role':
        this.#role = action.role;
        return;
      case 'load-model': {
        const loaded = { model: action.model, version: action.version, adapters: [] };
        this.#models = [...this.#models, loaded];
        return;
      }
      case 'unload-model':
        this.#models = this.#models.filter(
          (held) => held.model !== action.model || held.version !== action.version,
        );
        return;
      case 'load-adapter':
        this.#setAdapter(action.model, action.adapter, {
          adapter: action.adapter,
          version: action.version,
        });
        return;
      case 'unload-adapter':
        this.#setAdapter(action.model, action.adapter, null);
        return;
    }
  }

  #versionsOf(model: ModelName): LoadedModel[] {
    return this.#models.filter((held) => held.model === model);
  }

  #holds(model: ModelName, version?: string): boolean {
    return this.#versionsOf(model).some(
      (held) => version === undefined || held.version === version,
    );
  }

  #setAdapter(model: ModelName, name: AdapterName, adapter: LoadedAdapter | null): void {
    this.#models = this.#models.map((held) => {
      if (held.model !== model) return held;
      const others = held.adapters.filter((other) => other.adapter !== name);
      return { ...held, adapters: adapter === null ? others : [...others, adapter] };
    });
  }
}

function adapterOf(held: LoadedModel, name: AdapterName): LoadedAdapter | undefined {
  return held.adapters.find((candidate) => candidate.adapter === name);
}

function resolveIn(held: LoadedModel, name: string): ResolvedModel | null {
  if (held.model === name) return { model: held.model, adapter: null, version: held.version };
  const adapter = adapterOf(held, name);
  if (adapter === undefined) return null;
  return {
    model: held.model,
    adapter: adapter.adapter,
    version: `${held.version}+${adapter.version}`,
  };
}
