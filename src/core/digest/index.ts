/**
 * What daemons know of engines: each engine is polled by one daemon, its watcher, which tells those
 * that use the engine.
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
