/** Routing: which backend takes a request. */
export { chooseEngine } from './choose-engine.js';
export { chooseWebBackend, type WebChoiceInput, type WebDecision } from './choose-web-backend.js';
export type {
  CandidateScore,
  EngineChoiceInput,
  ModelTarget,
  RoutingDecision,
} from './decision.js';
export type { EngineEntry, ExclusionReason, UnavailableReason } from './engine-entry.js';
export { FleetIndex } from './fleet-index.js';
export { OutlierTracker } from './outlier-tracker.js';
export { OutstandingTable, type StartedAttempt } from './outstanding-table.js';
export { type ExpectedFinishOptions, expectedFinish } from './policies/expected-finish.js';
export { leastOutstanding } from './policies/least-outstanding.js';
export { powerOfTwo } from './policies/power-of-two.js';
export { random } from './policies/random.js';
export { roundRobin } from './policies/round-robin.js';
export type { CandidatePool, RoutingPolicy } from './policy.js';
export { type CacheEvent, PrefixIndex } from './prefix-index.js';
