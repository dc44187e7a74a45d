/** Asks engines for reports: the watched ones regularly, others only when their news is stale. */
import type { BackendName } from '../common/identifiers.js';
import { isSingleProbeGroup } from '../membership/index.js';
import {
  DIRECT_POLL_INTERVAL_MS,
  LARGE_FLEET_STALE_MS,
  MAX_DIRECT_POLLS,
  POLL_INTERVAL_MS,
  POLL_TIMEOUT_MS,
  STALE_MS,
} from './settings.js';
import type { DigestStep } from './state.js';

/** Starts the polls that are due. */
export function pollEngines(step: DigestStep): void {
  const staleMs = isSingleProbeGroup(step.membership) ? STALE_MS : LARGE_FLEET_STALE_MS;
  let direct = countDirectPolls(step);
  for (const view of step.state.views.values()) {
    const { name } = view.machine;
    if (view.watcher === step.state.self) {
      if (isWanted(step, name) && isDue(step, name, POLL_INTERVAL_MS)) {
        poll(step, name);
      }
    } else if (step.now - view.reportedAt > staleMs && direct < MAX_DIRECT_POLLS) {
      if (isDue(step, name, DIRECT_POLL_INTERVAL_MS)) {
        direct += 1;
        poll(step, name);
      }
    }
  }
}

/** A watched engine that nobody uses is not asked: a daemon that is cut off watches many. */
function isWanted(step: DigestStep, engine: BackendName): boolean {
  const until = step.state.wantedUntil.get(engine) ?? Number.NEGATIVE_INFINITY;
  return step.state.used.has(engine) || step.now < until;
}

function countDirectPolls(step: DigestStep): number {
  let count = 0;
  for (const engine of step.state.pendingPolls) {
    count += step.state.views.get(engine)?.watcher !== step.state.self ? 1 : 0;
  }
  return count;
}

function isDue(step: DigestStep, engine: BackendName, intervalMs: number): boolean {
  const askedAt = step.state.polledAt.get(engine) ?? Number.NEGATIVE_INFINITY;
  const pause = step.state.pendingPolls.has(engine) ? POLL_TIMEOUT_MS : intervalMs;
  return step.now - askedAt >= pause;
}

function poll(step: DigestStep, engine: BackendName): void {
  step.effects.push({ kind: 'poll-engine', engine });
  step.change({
    polledAt: new Map(step.state.polledAt).set(engine, step.now),
    pendingPolls: new Set(step.state.pendingPolls).add(engine),
  });
}

/** The poll of an engine has ended. */
export function endPoll(step: DigestStep, engine: BackendName): void {
  const waiting = new Set(step.state.pendingPolls);
  waiting.delete(engine);
  step.change({ pendingPolls: waiting });
}
