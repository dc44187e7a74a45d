/** Duties that one daemon at a time has, under a fencing token. */
export {
  type DutyRecord,
  RecordLease,
  type RecordLeaseSettings,
  type RecordOutcome,
  type SeenRecord,
} from './record-lease.js';
