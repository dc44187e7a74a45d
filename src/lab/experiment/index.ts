/** Experiments: scenarios run in virtual time under policies, measured and compared. */
export { type Comparison, compare, figuresOf } from './compare.js';
export { type Estimate, estimate } from './interval.js';
export { POLICY_NAMES, policyNamed } from './policies.js';
export type { RolePolicy } from './policy.js';
export type { CoursePoint, ExperimentResult } from './result.js';
export { type ExperimentOptions, runExperiment } from './run.js';
export { loadScenario, parseScenario, type Scenario } from './scenario-file.js';
