/** The controller of a pool: brings its engines to their desired state by fenced, durable orders. */
export { resourceOfPool } from './resource.js';
export {
  type ControllerState,
  type EngineControl,
  initialControllerState,
  type OrderProgress,
} from './state.js';
export { stepController } from './step.js';
export {
  type ControllerEffect,
  type ControllerEvent,
  type ControllerOutput,
  type ControllerSettings,
  DEFAULT_CONTROLLER_LIMITS,
  type DesiredEngine,
  type OrderQueryResult,
} from './types.js';
