/**
 * The routing state of one engine: the latest view of it, flattened so that a decision reads only
 * plain fields.
 */
import type { BackendName, VersionName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type {
  EngineMachine,
  EngineReport,
  EngineRole,
  EngineView,
  MachineState,
} from '../registry/backend.js';
import { SpeedModel } from './speed-model.js';

/** Why an engine accepts no new request at all. */
export type UnavailableReason =
  | 'no-report'
  | 'machine-leaving'
  | 'engine-leaving'
  | 'drained'
  | 'intake-closed'
  | 'busy';

/** Why an engine is not eligible for one request now. */
export type ExclusionReason =
  | UnavailableReason
  | 'not-loaded'
  | 'other-version'
  | 'grant-expired'
  | 'wrong-role'
  | 'excluded'
  | 'ejected'
  | 'full';

/** The version of a model, and of an adapter on it, that an engine holds. */
export interface HeldVersion {
  readonly model: VersionName;
  readonly adapter: VersionName | null;
}

/** The state of one engine. Updated in place by `FleetIndex` only. */
export interface EngineEntry {
  readonly name: BackendName;
  machine: EngineMachine;
  /** The machine's state in the latest view; this or the state in `machine` may change first. */
  viewedState: MachineState;
  report: EngineReport | null;
  reportedAt: MonotonicMs;
  grantedUntil: MonotonicMs;
  /** When the engine measured the report's `load`, which may be older than the report. */
  loadMeasuredAt: MonotonicMs;
  /** Copied from the report, as every decision reads them; 0 without a report. */
  reportedActive: number;
  reportedPrefillTokens: number;
  maxBatch: number;
  readonly speed: SpeedModel;
  drained: boolean;
  role: EngineRole;
  /** The role with which the candidate sets were last marked for a rebuild. */
  indexedRole: EngineRole;
  /** Null when only the request or an expired grant can still exclude the engine. */
  unavailable: UnavailableReason | null;
  /** Held versions by target key (see `targetKey`). */
  heldVersions: Map<string, HeldVersion>;
  /** True once a machine list has contained the engine. */
  listed: boolean;
  /** Number of consecutive machine lists that did not contain the engine. */
  listsMissed: number;
}

/** Creates the entry of an engine that has not reported yet. */
export function createEngineEntry(machine: EngineMachine): EngineEntry {
  return {
    name: machine.name,
    machine,
    viewedState: 'live',
    report: null,
    reportedAt: Number.NEGATIVE_INFINITY,
    grantedUntil: Number.NEGATIVE_INFINITY,
    loadMeasuredAt: Number.NEGATIVE_INFINITY,
    reportedActive: 0,
    reportedPrefillTokens: 0,
    maxBatch: 1,
    speed: new SpeedModel(),
    drained: false,
    role: 'mixed',
    indexedRole: 'mixed',
    unavailable: 'no-report',
    heldVersions: new Map(),
    listed: false,
    listsMissed: 0,
  };
}

/** Applies a view to the entry of its engine. */
export function applyView(entry: EngineEntry, view: EngineView): void {
  entry.viewedState = view.machine.state;
  if (view.report !== null && view.reportedAt > entry.reportedAt) {
    entry.speed.observe(view.report.load);
  }
  entry.report = view.report;
  entry.reportedAt = view.reportedAt;
  entry.grantedUntil = view.grantedUntil;
  entry.loadMeasuredAt = view.reportedAt - (view.report?.load.ageMs ?? 0);
  entry.reportedActive = view.report?.activeRequests ?? 0;
  entry.reportedPrefillTokens = view.report?.load.queuedPrefillTokens ?? 0;
  entry.maxBatch = Math.max(1, view.report?.maxBatch ?? 1);
  entry.role = view.report?.role ?? 'mixed';
}

/** Why an engine accepts no new request at all, or null. */
export function unavailableReason(entry: EngineEntry): UnavailableReason | null {
  if (entry.machine.state !== 'live' || entry.viewedState !== 'live') {
    return 'machine-leaving';
  }
  if (entry.drained) {
    return 'drained';
  }
  const report = entry.report;
  if (report === null) {
    return 'no-report';
  }
  if (report.leaving) {
    return 'engine-leaving';
  }
  if (report.intake !== 'open') {
    return 'intake-closed';
  }
  return report.busy ? 'busy' : null;
}

/** The key of a model or adapter in the maps of held versions and of candidate sets. */
export function targetKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}\n${adapter}`;
}

/** The versions that an engine holds according to its report, by target key. */
export function heldVersionsOf(report: EngineReport | null): Map<string, HeldVersion> {
  const heldVersions = new Map<string, HeldVersion>();
  for (const loaded of report?.models ?? []) {
    heldVersions.set(targetKey(loaded.model, null), { model: loaded.version, adapter: null });
    for (const adapter of loaded.adapters) {
      heldVersions.set(targetKey(loaded.model, adapter.adapter), {
        model: loaded.version,
        adapter: adapter.version,
      });
    }
  }
  return heldVersions;
}

/** Whether two maps of held versions are equal. */
export function sameHeldVersions(
  left: ReadonlyMap<string, HeldVersion>,
  right: ReadonlyMap<string, HeldVersion>,
): boolean {
  if (left.size !== right.size) {
    return false;
  }
  for (const [key, held] of left) {
    const other = right.get(key);
    if (other === undefined || !sameVersion(held, other)) {
      return false;
    }
  }
  return true;
}

/** Whether two held versions are equal. */
export function sameVersion(left: HeldVersion, right: HeldVersion): boolean {
  return left.model === right.model && left.adapter === right.adapter;
}

/** A held version in the format of `system_fingerprint` and `x-threadfork-version`. */
export function versionText(held: HeldVersion): VersionName {
  return held.adapter === null ? held.model : `${held.model}+${held.adapter}`;
}
