/**
 * Chooses the engine for one request to a model or adapter. Eligibility is decided here and is the
 * same for every policy: the engine holds the target in a served version, its dispatch grant lasts,
 * its intake is open, it is neither busy, leaving, drained nor ejected, its role takes completions,
 * and it has less in hand than it should have at most.
 */
import type { CandidateSet } from './candidate-set.js';
import { CandidateView } from './candidate-view.js';
import type { CandidateScore, EngineChoiceInput, RoutingDecision } from './decision.js';
import { type EngineEntry, versionText } from './engine-entry.js';
import { exclusionOf, noEngineFault, unknownTargetFault } from './no-engine-fault.js';

const NOT_EXPLAINED: readonly CandidateScore[] = [];

/** Chooses an engine, or says why there is none. */
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
 * No engine passed. One that the request has failed on, or that is ejected, is better than none,
 * unless others are merely full: those are worth the wait.
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
  const held = entry.holdings.get(set.key);
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
      excluded: exclusionOf(entry, set, view),
      expectedFinishMs: view.expectedFinishMs(entry),
      expectedActive: view.expectedActive(entry),
      ownInFlight: view.ownInFlight(entry),
      loadAgeMs: input.context.now - entry.loadAt,
      cachedTokens: view.cachedTokens(entry),
    });
  }
  return scores;
}
