/** Admission: which request goes next, which waits and which is refused at the door. */
export { AdmissionQueue } from './admission-queue.js';
export type { Admissible, AdmissionRules, ClassRules } from './admission-rules.js';
export {
  ADMISSION_DEFAULTS,
  type AdmissionDecision,
  type AdmissionLimits,
  type ExpiredRequest,
  type OfferContext,
} from './admission-scheduler.js';
export { RetrySchedule, type RetryScheduleInput } from './retry-schedule.js';
export type { TokenUse } from './token-cost.js';
export { WaitQueue, type WaitQueueEntry, type WaitQueueRequest } from './wait-queue.js';
