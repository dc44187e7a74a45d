/** The policies of experiments, by their names on the command line. */

import { fixedSplit, PLANNER, type RolePolicy } from './policy.js';
import { bestFixedSplit, oraclePolicy, thresholdPolicy } from './reference-policies.js';
import type { Scenario } from './scenario-file.js';

const FIXED_SPLIT = /^fixed:(\d{1,4})p(\d{1,4})d$/;

/** The values of `--policies`, for messages and usage texts. */
export const POLICY_NAMES =
  'planner, best-fixed, threshold, oracle, fixed:<N>p<M>d (N engines prefill, M decode, the rest mixed)';

/**
 * The policy of a name; null when there is none. `best-fixed` and `oracle` run trials of the scenario to
 * select their splits.
 */
export function policyNamed(name: string, scenario: Scenario, stretch = 1): RolePolicy | null {
  switch (name) {
    case 'planner':
      return PLANNER;
    case 'best-fixed':
      return bestFixedSplit(scenario, stretch);
    case 'threshold':
      return thresholdPolicy();
    case 'oracle':
      return oraclePolicy(scenario, stretch);
    default:
      return splitNamed(name, scenario);
  }
}

function splitNamed(name: string, scenario: Scenario): RolePolicy | null {
  const matched = FIXED_SPLIT.exec(name);
  if (matched === null) return null;
  const split = { prefill: Number(matched[1]), decode: Number(matched[2]) };
  const engines = scenario.fleet.definition.engines.length;
  return split.prefill + split.decode <= engines ? fixedSplit(split) : null;
}
