/**
 * Chooses the engine for one request to a model or adapter. Eligibility is the same for every
 * policy: the engine holds a served version of the target, its dispatch grant has not expired, its
 * intake is open, it is not busy, leaving, drained or ejected, its role accepts completions, and
 * its expected number of active requests is below its limit.
 */
import type { CandidateSet } from './candidate-set.js';
import { CandidateView } from './candidate-view.js';
import type { CandidateScore, EngineChoiceInput, RoutingDecision } from './decision.js';
import { type EngineEntry, versionText } from './engine-entry.js';
import { exclusionReason, noEngineFault, unknownTargetFault } from './no-engine-fault.js';

const NOT_EXPLAINED: readonly CandidateScore[] = [];

/** Chooses an engine, or returns the reason why none is eligible. */
export function chooseEngine(input: EngineChoiceInput): RoutingDecision {
  const { model, adapter } = input.target;
  if (input.index.wantedVersion(model, adapter) === null) {
    return {
      kind: 'none',
      fault: unknownTargetFault(input.index.configuration, input.target),
      candidates: NOT_EXPLAINED,
    };
  }
  const set = input.index.candidates(model, adapter);
  const view = new CandidateView(input, set);
  const strict = input.policy.choose(view);
  if (strict !== null) {
    return chosenDecision(input, set, view, strict);
  }
  return chooseFallback(input, set, view);
}

/**
 * Decides when no engine is eligible. If an engine is merely full, the request waits for it.
 * Otherwise ejected engines and engines that this request failed on are considered too.
 */
function chooseFallback(
  input: EngineChoiceInput,
  set: CandidateSet,
  view: CandidateView,
): RoutingDecision {
  if (!set.all.some((entry) => view.exclusion(entry) === 'full')) {
    view.lenient = true;
    const lenient = input.policy.choose(view);
    if (lenient !== null) {
      return chosenDecision(input, set, view, lenient);
    }
  }
  const candidates = scoreAllEngines(input, set, view);
  if (set.all.some((entry) => view.exclusion(entry) === 'full')) {
    return { kind: 'full', candidateCount: set.all.length, candidates };
  }
  return { kind: 'none', fault: noEngineFault(input, set, view), candidates };
}

function chosenDecision(
  input: EngineChoiceInput,
  set: CandidateSet,
  view: CandidateView,
  entry: EngineEntry,
): RoutingDecision {
  const held = entry.heldVersions.get(set.key);
  return {
    kind: 'chosen',
    engine: entry.name,
    address: entry.machine.address,
    port: entry.machine.port,
    version: held === undefined ? '' : versionText(held),
    expectedFinishMs: view.expectedFinishMs(entry),
    policy: input.policy.name,
    candidateCount: set.all.length,
    candidates: scoreAllEngines(input, set, view),
  };
}

function scoreAllEngines(
  input: EngineChoiceInput,
  set: CandidateSet,
  view: CandidateView,
): readonly CandidateScore[] {
  if (input.explain !== true) {
    return NOT_EXPLAINED;
  }
  const scores: CandidateScore[] = [];
  for (const entry of input.index.engines()) {
    scores.push({
      engine: entry.name,
      zone: entry.machine.zone,
      excluded: exclusionReason(entry, set, view),
      expectedFinishMs: view.expectedFinishMs(entry),
      expectedActive: view.expectedActive(entry),
      ownInFlight: view.ownInFlight(entry),
      loadAgeMs: input.context.now - entry.loadMeasuredAt,
      cachedTokens: view.cachedTokens(entry),
    });
  }
  return scores;
}
