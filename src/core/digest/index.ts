/**
 * Distribution of engine reports: one daemon, the engine's watcher, polls each engine and sends
 * digests of its reports to the daemons that use the engine.
 */
export { earliestPollTime } from './grant.js';
export {
  createDigest,
  type DigestEffect,
  type DigestState,
  type PollEngineEffect,
} from './state.js';
export { type DigestEvent, stepDigest } from './step.js';
export { usedEngines } from './subset.js';
