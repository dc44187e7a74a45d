/** The callers' HTTP server and its connections to backends. */
export { BodyBudget } from './body-budget.js';
export {
  type CallerEvent,
  type CallerServer,
  type CallerServerOptions,
  createCallerServer,
  type Readiness,
} from './caller-server.js';
export { DEFAULT_HTTP_LIMITS, type HttpLimits } from './limits.js';
export { type CallerRefusal, createRefusalLog } from './refusal-log.js';
