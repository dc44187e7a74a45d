/** Rows of the tables `engines` and `models`. */
import type { MonotonicMs } from '../../common/time.js';
import { EMPTY_CONFIGURATION } from '../../configuration/document.js';
import type { Row } from '../../language/index.js';
import type { EngineView } from '../../registry/backend.js';
import type { DaemonState } from '../state.js';

/** One row for each engine that this daemon has a view of. */
export function engineRows(state: DaemonState, now: MonotonicMs): readonly Row[] {
  return [...state.digest.views.values()].map((view) => engineRow(state, view, now));
}

function engineRow(state: DaemonState, view: EngineView, now: MonotonicMs): Row {
  const { machine, report, watcher } = view;
  const backendSettings = documentOf(state).backends[machine.name];
  const models = report?.models ?? [];
  return {
    name: machine.name,
    zone: machine.zone,
    state: machine.state,
    accelerator: machine.accelerator,
    role: report?.role ?? null,
    askedRole: backendSettings?.role ?? null,
    intake: report?.intake ?? null,
    busy: report?.busy ?? null,
    drained: backendSettings?.drained ?? false,
    models: models.map(({ model, version }) => `${model}:${version}`),
    adapters: models.flatMap(({ adapters }) =>
      adapters.map(({ adapter, version }) => `${adapter}:${version}`),
    ),
    running: report?.load.running ?? null,
    queued: report?.load.queued ?? null,
    active: report?.activeRequests ?? null,
    kvUsed: report?.load.kvUsed ?? null,
    reportAgeMs: report === null ? null : Math.round(now - view.reportedAt),
    granted: now < view.grantedUntil,
    watcher,
    boot: report?.boot ?? null,
  };
}

/** One row for each configured model and one for each of its adapters. */
export function modelRows(state: DaemonState): readonly Row[] {
  const rows: Row[] = [];
  const views = [...state.digest.views.values()];
  for (const [model, stated] of Object.entries(documentOf(state).models)) {
    const { version, objective } = stated;
    const loaded = views.filter((view) => holdsModel(view, model, version)).length;
    const wanted = views.filter((view) => holdsModel(view, model, null)).length;
    rows.push({ model, version, adapter: null, adapterVersion: null, objective, loaded, wanted });
    for (const [adapter, { version: adapterVersion }] of Object.entries(stated.adapters)) {
      const holding = views.filter((view) => holdsAdapter(view, adapter, adapterVersion)).length;
      rows.push({ model, version, adapter, adapterVersion, objective, loaded: holding, wanted });
    }
  }
  return rows;
}

function holdsModel(view: EngineView, model: string, version: string | null): boolean {
  const models = view.report?.models ?? [];
  return models.some(
    (loaded) => loaded.model === model && (version === null || loaded.version === version),
  );
}

function holdsAdapter(view: EngineView, adapter: string, version: string): boolean {
  const models = view.report?.models ?? [];
  return models.some(({ adapters }) =>
    adapters.some((loaded) => loaded.adapter === adapter && loaded.version === version),
  );
}

function documentOf(state: DaemonState) {
  return (state.configuration.inForce ?? EMPTY_CONFIGURATION).document;
}
