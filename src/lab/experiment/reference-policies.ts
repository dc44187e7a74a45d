/**
 * Reference policies to compare the planner with: the best fixed split, a threshold without hysteresis,
 * and an oracle that knows the request rates in advance.
 */
import type { Milliseconds } from '../../core/common/time.js';
import type { Phase } from '../workload/index.js';
import {
  fixedSplit,
  type PolicyEngine,
  type RolePolicy,
  type Split,
  splitName,
  splitRoles,
} from './policy.js';
import { type ExperimentOptions, runExperiment } from './run.js';
import type { Scenario } from './scenario-file.js';

/** Splits are selected on this seed, which is never one of the measured seeds. */
const SELECTION_SEED = 0;
/** Candidate splits differ in steps of this fraction of the fleet: one quarter. */
const SPLIT_STEPS = 4;
/** The oracle tries its splits on at most this much of a phase. */
const PHASE_TRIAL_MS = 90_000;
/** The oracle acts ahead of a phase by about the duration of one drain and role change. */
const ORACLE_LEAD_MS = 15_000;
/** Prompt tokens per output token above which the threshold considers the mix prefill-heavy. */
const PREFILL_RATIO = 15;
/** The share of the fleet that the threshold puts into role `decode` when the mix is not prefill-heavy. */
const THRESHOLD_DECODE_SHARE = 0.5;

/** Splits in steps of a quarter of the fleet that leave at least one engine not in role `prefill`. */
function candidateSplits(engines: number): readonly Split[] {
  const sizes = Array.from({ length: SPLIT_STEPS + 1 }, (_, step) =>
    Math.round((engines * step) / SPLIT_STEPS),
  );
  return sizes.flatMap((prefill) =>
    sizes
      .filter((decode) => prefill < engines && prefill + decode <= engines)
      .map((decode) => ({ prefill, decode })),
  );
}

/** The fixed split with the highest goodput in this scenario. */
export function bestFixedSplit(scenario: Scenario, stretch: number): RolePolicy {
  const split = bestSplit({ scenario, stretch });
  return fixedSplit(split, `best-fixed (${splitName(split)})`);
}

/** Follows the mix since the last decision immediately, however often it crosses the threshold. */
export function thresholdPolicy(): RolePolicy {
  const allMixed: Split = { prefill: 0, decode: 0 };
  return {
    name: 'threshold',
    initialRoles: (engines) => splitRoles(engines, allMixed),
    decide: (engines, { arrivedPromptTokens, arrivedOutputTokens }) => {
      const isPrefillHeavy = arrivedPromptTokens > PREFILL_RATIO * arrivedOutputTokens;
      const decode = isPrefillHeavy ? 0 : Math.round(engines.length * THRESHOLD_DECODE_SHARE);
      return splitRoles(engines, { prefill: 0, decode });
    },
  };
}

/**
 * Knows each phase's rates in advance and switches, shortly before a phase begins, to the split with the
 * highest goodput in a trial of that phase alone. Uses the best fixed split if that scores higher in a
 * trial of the whole scenario.
 */
export function oraclePolicy(scenario: Scenario, stretch: number): RolePolicy {
  const perPhase = perPhasePolicy(scenario, stretch);
  const fixed = bestFixedSplit(scenario, stretch);
  const tokens = (policy: RolePolicy): number => trialTokens({ scenario, stretch, policy });
  const chosen = tokens(perPhase) > tokens(fixed) ? perPhase : fixed;
  return { ...chosen, name: 'oracle' };
}

interface PlannedPhase {
  readonly endsAtMs: Milliseconds;
  readonly split: Split;
}

function perPhasePolicy(scenario: Scenario, stretch: number): RolePolicy {
  const plan = planPhases(scenario, stretch);
  const at = (engines: readonly PolicyEngine[], atMs: Milliseconds) => {
    const planned = plan.find(({ endsAtMs }) => atMs < endsAtMs) ?? plan.at(-1);
    return splitRoles(engines, planned?.split ?? { prefill: 0, decode: 0 });
  };
  return {
    name: 'following',
    initialRoles: (engines) => at(engines, 0),
    decide: (engines, { atMs }) => at(engines, atMs + ORACLE_LEAD_MS),
  };
}

function planPhases(scenario: Scenario, stretch: number): readonly PlannedPhase[] {
  const known = new Map<string, Split>();
  let endsAtMs = 0;
  return scenario.definition.workload.phases.map((phase) => {
    endsAtMs += phase.durationMs * stretch;
    const mix = JSON.stringify(phase.rates);
    const split = known.get(mix) ?? bestSplit({ scenario: onlyPhase(scenario, phase), stretch: 1 });
    known.set(mix, split);
    return { endsAtMs, split };
  });
}

function onlyPhase(scenario: Scenario, phase: Phase): Scenario {
  const durationMs = Math.min(phase.durationMs, PHASE_TRIAL_MS);
  const workload = { ...scenario.definition.workload, phases: [{ ...phase, durationMs }] };
  return { ...scenario, definition: { ...scenario.definition, workload } };
}

/** The candidate split with the highest goodput; on a tie the first, which has fewer prefill engines. */
function bestSplit(trial: Pick<ExperimentOptions, 'scenario' | 'stretch'>): Split {
  const engines = trial.scenario.fleet.definition.engines.length;
  const tried = candidateSplits(engines).map((split) => ({
    split,
    tokens: trialTokens({ ...trial, policy: fixedSplit(split) }),
  }));
  return tried.reduce((best, each) => (each.tokens > best.tokens ? each : best)).split;
}

function trialTokens(trial: Omit<ExperimentOptions, 'seed'>): number {
  return runExperiment({ ...trial, seed: SELECTION_SEED }).goodput.tokens_per_second;
}
