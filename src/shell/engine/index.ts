/** The client of the engines' control interface. */
export {
  createEngineControlClient,
  type EngineControlClient,
  type EngineControlOptions,
} from './client.js';
export { EngineReachability, type PollOutcome } from './reachability.js';
