/** Workloads: definitions, and the generation of requests from them. */
export {
  type Arrival,
  arrivals,
  type ModelArrivalRequest,
} from './arrivals.js';
export { type Phase, type Workload, withScaledDurations, workloadSchema } from './definition.js';
export { promptText } from './prompt.js';
export { Random } from './random.js';
