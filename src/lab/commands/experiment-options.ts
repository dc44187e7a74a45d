/** Options shared by the experiment commands. */
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { UsageError } from 'clipanion';
import { formatProblem } from '../../shell/settings/index.js';
import {
  loadScenario,
  POLICY_NAMES,
  policyNamed,
  type RolePolicy,
  type Scenario,
} from '../experiment/index.js';

/** Bounds of `--seed` and `--stretch`. */
export const MAX_SEED = 0x7fffffff;
export const MIN_STRETCH = 0.001;
export const MAX_STRETCH = 100;

const SCENARIOS_FOLDER = fileURLToPath(new URL('../../../../examples/scenarios/', import.meta.url));

/** Reads a scenario, given by its name in this package or by a path. */
export function scenarioOption(nameOrPath: string): Scenario {
  const inPackage = `${SCENARIOS_FOLDER}${nameOrPath}.yaml`;
  const isName = !nameOrPath.endsWith('.yaml') && existsSync(inPackage);
  return loadScenario(isName ? inPackage : nameOrPath).match(
    (scenario) => scenario,
    (problems) => {
      throw new UsageError(problems.map(formatProblem).join('\n'));
    },
  );
}

/** Reads the name of a policy for a scenario. */
export function policyOption(
  flag: string,
  name: string,
  scenario: Scenario,
  stretch: number,
): RolePolicy {
  const policy = policyNamed(name, scenario, stretch);
  if (policy !== null) return policy;
  throw new UsageError(`${flag} ${name}: no such policy; use one of ${POLICY_NAMES}.`);
}
