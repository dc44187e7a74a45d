/** The load tool: sends workloads to daemons and checks every answer. */
export { Load, type LoadProgress } from './load.js';
export { OUTCOME_KINDS, type Outcome } from './outcome.js';
export type { LoadReport } from './tally.js';
