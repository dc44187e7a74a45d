/** The reducer of engine digests. */
import type { BackendName, PoolName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { StepContext, Transition } from '../common/transition.js';
import type { MembershipState } from '../membership/index.js';
import type { PeerReceivedEvent } from '../peer/index.js';
import type { EngineMachine, EngineReport } from '../registry/backend.js';
import { revisionOf } from './condense.js';
import { receiveFromPeer, sendDigests, sendInterests } from './exchange.js';
import { endPoll, pollEngines } from './polling.js';
import { type DigestEffect, type DigestState, DigestStep } from './state.js';
import { applyReport, assignEngines } from './views.js';

/** How often the assignment of engines is settled anew. */
const ASSIGNMENT_INTERVAL_MS = 500;

/** What the digest part listens to. Ticks are wanted about every 100 ms. */
export type DigestEvent =
  | { readonly kind: 'tick' }
  | PeerReceivedEvent
  /** The machine list was read. */
  | { readonly kind: 'engines-listed'; readonly engines: readonly EngineMachine[] }
  /** This daemon controls these pools and no others. */
  | { readonly kind: 'pools-controlled'; readonly pools: readonly PoolName[] }
  /** An engine answered a poll that was sent at `askedAt` by this daemon's clock. */
  | {
      readonly kind: 'engine-report';
      readonly report: EngineReport;
      readonly askedAt: MonotonicMs;
    }
  /** A poll failed. */
  | { readonly kind: 'engine-silent'; readonly engine: BackendName };

/** One step of the digest part. `membership` must have taken in the same event before. */
export function stepDigest(
  state: DigestState,
  event: DigestEvent,
  context: StepContext,
  membership: MembershipState,
): Transition<DigestState, DigestEffect> {
  const step = new DigestStep(state, context, membership);
  switch (event.kind) {
    case 'tick':
      tick(step);
      break;
    case 'peer-received':
      receiveFromPeer(step, event);
      break;
    case 'engines-listed':
      listEngines(step, event.engines);
      break;
    case 'pools-controlled':
      step.change({ controlledPools: [...event.pools].sort() });
      break;
    case 'engine-report':
      receiveReport(step, event.report, event.askedAt);
      break;
    case 'engine-silent':
      endPoll(step, event.engine);
      break;
  }
  return step.finish();
}

/** Keeps what is unchanged, so that a list that is read each second costs nothing further. */
function listEngines(step: DigestStep, listed: readonly EngineMachine[]): void {
  const known = step.state.engines;
  const isChanged = (engine: EngineMachine): boolean => {
    const old = known.get(engine.name);
    return old === undefined || !isSameMachine(old, engine);
  };
  if (listed.length === known.size && !listed.some(isChanged)) {
    return;
  }
  const engines = new Map(listed.map((engine) => [engine.name, engine]));
  step.change({ engines, listVersion: step.state.listVersion + 1, nextAssignmentAt: step.now });
}

function isSameMachine(one: EngineMachine, other: EngineMachine): boolean {
  return (
    one.address === other.address &&
    one.port === other.port &&
    one.zone === other.zone &&
    one.state === other.state &&
    one.accelerator === other.accelerator &&
    one.pool === other.pool
  );
}

function tick(step: DigestStep): void {
  if (step.now >= step.state.nextAssignmentAt) {
    step.change({ nextAssignmentAt: step.now + ASSIGNMENT_INTERVAL_MS });
    reassign(step);
  }
  pollEngines(step);
  if (step.now >= step.state.nextInterestAt) {
    sendInterests(step);
  }
  if (step.now >= step.state.nextDigestAt) {
    sendDigests(step);
  }
}

/** A new watcher is told of the interest at once. */
function reassign(step: DigestStep): void {
  const before = step.state.views;
  assignEngines(step);
  for (const [engine, view] of step.state.views) {
    if (before.get(engine)?.watcher !== view.watcher) {
      step.change({ nextInterestAt: step.now });
      return;
    }
  }
}

function receiveReport(step: DigestStep, report: EngineReport, askedAt: MonotonicMs): void {
  endPoll(step, report.engine);
  const known = step.state.directReports.get(report.engine);
  if (known === undefined || known.askedAt < askedAt) {
    const revision = revisionOf(report);
    const own = { report, revision, askedAt };
    step.change({ directReports: new Map(step.state.directReports).set(report.engine, own) });
  }
  applyReport(step, report, askedAt);
}
