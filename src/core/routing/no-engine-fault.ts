/** Faults for a request that no engine can take, with the reason and the remedy. */
import type { Milliseconds } from '../common/time.js';
import type { ConfigurationDocument } from '../configuration/document.js';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import { GRANT_MS } from '../registry/grant.js';
import type { CandidateSet } from './candidate-set.js';
import type { CandidateView } from './candidate-view.js';
import type { EngineChoiceInput, ModelTarget } from './decision.js';
import type { EngineEntry, ExclusionReason } from './engine-entry.js';

/** Retry-After for engines that are being loaded, drained or changed, which takes seconds. */
const ENGINE_RETURN_MS: Milliseconds = 5_000;

/** Text for each reason, following a number of engines; some name the remedy. */
const REASON_TEXT: Readonly<Record<ExclusionReason, string>> = {
  'no-report': 'not reporting yet',
  'machine-leaving': 'on a machine that is leaving',
  'engine-leaving': 'stopping',
  drained: 'drained by an operator (return them to service)',
  'intake-closed': 'being drained for a change',
  busy: 'changing role or loading',
  'not-loaded': 'without it in memory',
  'other-version': 'holding another version',
  'grant-expired': 'not heard from lately (check daemons and network)',
  'wrong-role': 'in role prefill (ask for role mixed or decode)',
  excluded: 'failed on for this request',
  ejected: 'ejected after failures',
  full: 'full',
};

/** The fault for a model or adapter that is not configured. */
export function unknownTargetFault(
  configuration: ConfigurationDocument,
  target: ModelTarget,
): Fault {
  const configured = configuration.models[target.model];
  if (configured === undefined) {
    const served = quoteNames(Object.keys(configuration.models));
    return refusedNotRun(
      'unknown-model',
      `No model "${target.model}" is served. Use one of: ${served}, or have an operator serve it.`,
    );
  }
  const adapters = quoteNames(Object.keys(configured.adapters));
  return refusedNotRun(
    'unknown-model',
    `Model "${target.model}" has no adapter "${target.adapter}". Use one of: ${adapters}, or have an operator serve it.`,
  );
}

/** The fault for a configured target that no engine can serve now. */
export function noEngineFault(
  input: EngineChoiceInput,
  set: CandidateSet,
  view: CandidateView,
): Fault {
  const counts = new Map<ExclusionReason, number>();
  for (const entry of input.index.engines()) {
    const reason = exclusionReason(entry, set, view) ?? 'full';
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const name = input.target.adapter ?? input.target.model;
  return refusedNotRun(
    'no-backend',
    `No engine can take "${name}" now: ${describeCounts(counts)}. Retry after the time stated.`,
    { retryAfterMs: retryAfter(counts) },
  );
}

/** Why any known engine, in the candidate set or not, is not eligible for the request, or null. */
export function exclusionReason(
  entry: EngineEntry,
  set: CandidateSet,
  view: CandidateView,
): ExclusionReason | null {
  if (entry.unavailable !== null && entry.unavailable !== 'no-report' && !set.holders.has(entry)) {
    return 'not-loaded';
  }
  if (entry.unavailable !== null) {
    return entry.unavailable;
  }
  if (!set.holders.has(entry)) {
    return 'not-loaded';
  }
  if (set.members.has(entry)) {
    return view.exclusion(entry);
  }
  return entry.role === 'prefill' ? 'wrong-role' : 'other-version';
}

function describeCounts(counts: ReadonlyMap<ExclusionReason, number>): string {
  if (counts.size === 0) {
    return 'no engine is known';
  }
  const parts = [...counts].map(([reason, count]) => `${count} ${REASON_TEXT[reason]}`);
  return parts.join(', ');
}

function retryAfter(counts: ReadonlyMap<ExclusionReason, number>): Milliseconds {
  const onlyExpired = [...counts.keys()].every((reason) => reason === 'grant-expired');
  return counts.size > 0 && onlyExpired ? GRANT_MS : ENGINE_RETURN_MS;
}

function quoteNames(names: readonly string[]): string {
  return names.length === 0 ? '(none)' : names.map((name) => `"${name}"`).join(', ');
}
