/** Keeps the views: which engines, who watches each, and which report is the newest. */
import type { BackendName, DaemonName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import {
  dutyCandidates,
  isSingleProbeGroup,
  type WatcherCandidate,
  watcherOf,
} from '../membership/index.js';
import {
  type EngineMachine,
  type EngineReport,
  type EngineView,
  type Fence,
  poolOf,
} from '../registry/backend.js';
import { grantEnd } from '../registry/grant.js';
import type { DigestStep } from './state.js';
import { usedEngines } from './subset.js';

/** Settles anew which engines this daemon uses and who watches each, when that may have changed. */
export function assignEngines(step: DigestStep): void {
  const basis = assignmentBasis(step);
  if (basis === step.state.assignmentKey) {
    return;
  }
  const members = dutyCandidates(step.membership);
  const used = enginesInUse(step, members);
  const views = new Map<BackendName, EngineView>();
  for (const machine of enginesToConsider(step, members)) {
    const watcher = watcherOf(machine.name, machine.zone, members);
    if (used.has(machine.name) || watcher === step.state.self) {
      views.set(machine.name, viewOf(step, machine, watcher));
    }
  }
  step.change({ views, used, assignmentKey: basis });
}

/** Equal texts mean an equal assignment. */
function assignmentBasis(step: DigestStep): string {
  const names = dutyCandidates(step.membership).map((member) => member.name);
  const { listVersion: listing, controlledPools: controlled } = step.state;
  return `${listing} ${controlled.join(' ')} ${names.sort().join(' ')}`;
}

/** The engines of other zones are watched there, unless nobody is left there. */
function enginesToConsider(
  step: DigestStep,
  members: readonly WatcherCandidate[],
): readonly EngineMachine[] {
  const engines = [...step.state.engines.values()];
  if (isSingleProbeGroup(step.membership)) {
    return engines;
  }
  const otherZones = new Set(members.map((member) => member.zone));
  otherZones.delete(step.membership.self.zone);
  const pools = new Set(step.state.controlledPools);
  return engines.filter((engine) => !otherZones.has(engine.zone) || pools.has(poolOf(engine)));
}

function viewOf(step: DigestStep, machine: EngineMachine, watcher: DaemonName | null): EngineView {
  const known = step.state.views.get(machine.name);
  if (known === undefined) {
    const never = Number.NEGATIVE_INFINITY;
    return { machine, report: null, reportedAt: never, grantedUntil: never, watcher };
  }
  const isSame = known.machine === machine && known.watcher === watcher;
  return isSame ? known : { ...known, machine, watcher };
}

function enginesInUse(
  step: DigestStep,
  members: readonly WatcherCandidate[],
): ReadonlySet<BackendName> {
  const { engines, self } = step.state;
  if (isSingleProbeGroup(step.membership)) {
    return new Set(engines.keys());
  }
  const { zone } = step.membership.self;
  const daemons = members.filter((member) => member.zone === zone).map((member) => member.name);
  const zoneEngines = [...engines.values()].filter((engine) => engine.zone === zone);
  const used = usedEngines(self, daemons, zoneEngines);
  return new Set([...used, ...controlledEngines(step)]);
}

/** A pool's controller needs to know all of the pool's engines, whatever their zone. */
function controlledEngines(step: DigestStep): readonly BackendName[] {
  const pools = new Set(step.state.controlledPools);
  return [...step.state.engines.values()]
    .filter((engine) => pools.has(poolOf(engine)))
    .map((engine) => engine.name);
}

/** Takes in a report that was asked for no earlier than the given time by this daemon's clock. */
export function applyReport(step: DigestStep, report: EngineReport, askedAt: MonotonicMs): void {
  const view = step.state.views.get(report.engine);
  if (view === undefined || askedAt <= view.reportedAt || isOlder(report, view.report)) {
    return;
  }
  step.putView({ ...view, report, reportedAt: askedAt, grantedUntil: grantEnd(askedAt) });
}

/** Within one life of an engine its fence only rises, so a lower one tells an older report. */
function isOlder(report: EngineReport, known: EngineReport | null): boolean {
  if (known === null || known.boot !== report.boot) {
    return false;
  }
  return compareFences(report.fence, known.fence) < 0;
}

function compareFences(one: Fence | null, other: Fence | null): number {
  const epochs = (one?.epoch ?? -1) - (other?.epoch ?? -1);
  return epochs !== 0 ? epochs : (one?.sequence ?? -1) - (other?.sequence ?? -1);
}
