/**
 * The models and role that each engine of a pool should have, from the configuration and the
 * planned roles.
 */
import type { BackendName, ModelName } from '../common/identifiers.js';
import type { ConfigurationDocument, ModelConfiguration } from '../configuration/document.js';
import type { DesiredEngine } from '../controller/index.js';
import type { EngineRole, EngineView, LoadedModel } from '../registry/backend.js';

/** The role that the planner chose for an engine, with its reason. */
export interface PlannedRole {
  readonly role: EngineRole;
  readonly reason: string;
}

/**
 * The desired state of a pool's engines. An engine keeps the configured models that it has loaded,
 * at their configured versions with all their adapters. An engine without any of them loads the
 * model that the fewest engines have loaded. A role set by an operator overrides the planner's.
 */
export function desiredEngines(
  document: ConfigurationDocument,
  views: readonly EngineView[],
  planned: ReadonlyMap<BackendName, PlannedRole>,
): readonly DesiredEngine[] {
  const placement = placeModels(document, views);
  return views.map((view) => {
    const { name } = view.machine;
    const operatorRole = document.backends[name]?.role;
    const plan = planned.get(name);
    return {
      engine: name,
      role: operatorRole ?? plan?.role ?? null,
      models: placement.get(name) ?? null,
      reason:
        operatorRole === undefined ? (plan?.reason ?? 'configuration') : 'asked for by an operator',
    };
  });
}

function placeModels(
  document: ConfigurationDocument,
  views: readonly EngineView[],
): ReadonlyMap<BackendName, readonly LoadedModel[]> {
  const names = Object.keys(document.models).sort();
  const holders = new Map<ModelName, number>(names.map((name) => [name, 0]));
  const placement = new Map<BackendName, readonly LoadedModel[]>();
  const unplaced: BackendName[] = [];
  for (const { machine, report } of views) {
    if (report === null) {
      continue;
    }
    const held = names.filter((name) => report.models.some((loaded) => loaded.model === name));
    held.forEach((name) => {
      holders.set(name, (holders.get(name) ?? 0) + 1);
    });
    if (held.length === 0) {
      unplaced.push(machine.name);
    } else {
      placement.set(machine.name, wantedModels(document, held));
    }
  }
  for (const engine of unplaced.sort()) {
    const leastReplicated = leastReplicatedModel(holders);
    if (leastReplicated !== null) {
      holders.set(leastReplicated, (holders.get(leastReplicated) ?? 0) + 1);
      placement.set(engine, wantedModels(document, [leastReplicated]));
    }
  }
  return placement;
}

function leastReplicatedModel(holders: ReadonlyMap<ModelName, number>): ModelName | null {
  let leastReplicated: ModelName | null = null;
  for (const [name, count] of holders) {
    if (leastReplicated === null || count < (holders.get(leastReplicated) ?? 0)) {
      leastReplicated = name;
    }
  }
  return leastReplicated;
}

function wantedModels(
  document: ConfigurationDocument,
  names: readonly ModelName[],
): readonly LoadedModel[] {
  const wanted: LoadedModel[] = [];
  for (const name of names) {
    const stated = document.models[name];
    if (stated !== undefined) {
      wanted.push(wantedModel(name, stated));
    }
  }
  return wanted;
}

function wantedModel(name: ModelName, stated: ModelConfiguration): LoadedModel {
  const adapters = Object.entries(stated.adapters)
    .map(([adapter, { version }]) => ({ adapter, version }))
    .sort((one, other) => (one.adapter < other.adapter ? -1 : 1));
  return { model: name, version: stated.version, adapters };
}
