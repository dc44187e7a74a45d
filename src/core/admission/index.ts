/** Admission: decides which request is dispatched next, which waits and which is refused on arrival. */
export { AdmissionQueue } from './admission-queue.js';
export type { Admissible, AdmissionRules, ClassRules } from './admission-rules.js';
export { type RetryInput, RetryLine } from './retry-line.js';
export type { TokenUse } from './token-cost.js';
export {
  ADMISSION_DEFAULTS,
  type AdmissionAnswer,
  type AdmissionLimits,
  type ExpiredRequest,
  type OfferContext,
} from './waiting-lines.js';
export { type RoomPlace, type RoomRequest, WaitingRoom } from './waiting-room.js';
