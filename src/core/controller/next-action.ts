/**
 * Derives the next order from the difference between an engine's report and its desired state.
 */
import type { OrderAction } from '../orders/index.js';
import type { EngineReport, LoadedModel } from '../registry/backend.js';
import type { DesiredEngine } from './types.js';

/** The next order towards the desired state, or null when the report matches it. */
export function nextAction(desired: DesiredEngine, report: EngineReport): OrderAction | null {
  const loading = desired.models === null ? null : nextModelAction(desired.models, report.models);
  if (loading !== null) return loading;
  if (desired.role === null || desired.role === report.role) return null;
  return { kind: 'set-role', role: desired.role };
}

function nextModelAction(
  wanted: readonly LoadedModel[],
  loaded: readonly LoadedModel[],
): OrderAction | null {
  for (const model of wanted) {
    const action = loadAction(model, loaded);
    if (action !== null) return action;
  }
  for (const model of loaded) {
    const action = unloadAction(model, wanted);
    if (action !== null) return action;
  }
  return null;
}

function loadAction(wanted: LoadedModel, loaded: readonly LoadedModel[]): OrderAction | null {
  const { model, version } = wanted;
  const present = find(loaded, wanted);
  if (present === undefined) return { kind: 'load-model', model, version };
  for (const { adapter, version: adapterVersion } of wanted.adapters) {
    const found = present.adapters.find((candidate) => candidate.adapter === adapter);
    if (found?.version === adapterVersion) continue;
    return { kind: 'load-adapter', model, adapter, version: adapterVersion };
  }
  return null;
}

function unloadAction(loaded: LoadedModel, wanted: readonly LoadedModel[]): OrderAction | null {
  const { model, version } = loaded;
  const wantedModel = find(wanted, loaded);
  if (wantedModel === undefined) return { kind: 'unload-model', model, version };
  for (const { adapter } of loaded.adapters) {
    const isWanted = wantedModel.adapters.some((candidate) => candidate.adapter === adapter);
    if (!isWanted) return { kind: 'unload-adapter', model, adapter };
  }
  return null;
}

function find(models: readonly LoadedModel[], sought: LoadedModel): LoadedModel | undefined {
  return models.find(
    (candidate) => candidate.model === sought.model && candidate.version === sought.version,
  );
}
