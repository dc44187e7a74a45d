/** Leases: which daemon may act on a resource, under which epoch and until when. */
export { type Authority, isInForce, maySendUnder } from './authority.js';
export { fenceSchema } from './row-checks.js';
export {
  authorityOf,
  DEFAULT_LEASE_DURATION_MS,
  DEFAULT_LEASE_MARGIN_MS,
  epochOf,
  holdsAuthority,
  initialLeaseState,
  isReleased,
  type LeaseEffect,
  type LeaseEvent,
  type LeaseOutput,
  type LeaseSettings,
  type LeaseState,
} from './state.js';
export { stepLease } from './step.js';
export { type EpochRow, epochKey, type LeaseRow, leaseKey } from './types.js';
