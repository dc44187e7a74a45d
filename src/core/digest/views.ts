/**
 * Maintains the engine views: which engines have one, the watcher and the newest report of each.
 */
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

/**
 * Recomputes which engines this daemon uses and which daemon watches each, if the inputs changed.
 */
export function assignEngines(step: DigestStep): void {
  const key = assignmentKeyOf(step);
  if (key === step.state.assignmentKey) {
    return;
  }
  const members = dutyCandidates(step.membership);
  const used = enginesInUse(step, members);
  const views = new Map<BackendName, EngineView>();
  for (const machine of candidateEngines(step, members)) {
    const watcher = watcherOf(machine.name, machine.zone, members);
    if (used.has(machine.name) || watcher === step.state.self) {
      views.set(machine.name, viewOf(step, machine, watcher));
    }
  }
  step.change({ views, used, assignmentKey: key });
}

/** A key of the assignment's inputs: equal keys give an equal assignment. */
function assignmentKeyOf(step: DigestStep): string {
  const names = dutyCandidates(step.membership).map((member) => member.name);
  const { listVersion: listing, controlledPools: controlled } = step.state;
  return `${listing} ${controlled.join(' ')} ${names.sort().join(' ')}`;
}

/**
 * Leaves out engines of other zones, which are watched there, unless their zone has no daemon or
 * this daemon controls their pool.
 */
function candidateEngines(
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

/** A pool's controller needs the reports of all the pool's engines, in every zone. */
function controlledEngines(step: DigestStep): readonly BackendName[] {
  const pools = new Set(step.state.controlledPools);
  return [...step.state.engines.values()]
    .filter((engine) => pools.has(poolOf(engine)))
    .map((engine) => engine.name);
}

/** Applies a report whose poll started no earlier than `askedAt` by this daemon's clock. */
export function applyReport(step: DigestStep, report: EngineReport, askedAt: MonotonicMs): void {
  const view = step.state.views.get(report.engine);
  if (view === undefined || askedAt <= view.reportedAt || isOlder(report, view.report)) {
    return;
  }
  step.putView({ ...view, report, reportedAt: askedAt, grantedUntil: grantEnd(askedAt) });
}

/**
 * Within one boot of an engine its fence only increases, so a lower fence means an older report.
 */
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
