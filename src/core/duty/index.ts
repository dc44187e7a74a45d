/** Duties: tasks that one daemon at a time performs, under a fencing token. */
export {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from './record-lease.js';
