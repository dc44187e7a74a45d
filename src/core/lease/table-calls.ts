/**
 * The table calls of a lease. Each write is conditional on the version last read.
 */
import { nextFence } from '../platform/era-fence.js';
import type { TableCall } from '../platform/table.js';
import type { LeaseSettings, ObservedLease } from './state.js';
import { type EpochRow, epochKey, type LeaseRow, leaseKey } from './types.js';

/** Reads the lease and epoch rows. */
export function readCall(settings: LeaseSettings): TableCall {
  return { kind: 'get', keys: [leaseKey(settings.resource), epochKey(settings.resource)] };
}

/** Acquires a free or lapsed lease under the next epoch. */
export function acquireCall(settings: LeaseSettings, observed: ObservedLease): TableCall {
  const epoch = nextFence(observed.era, observed.epoch);
  const lease: LeaseRow = {
    holder: settings.daemon,
    incarnation: settings.incarnation,
    epoch,
    durationMs: settings.durationMs,
    renewals: 0,
  };
  const epochRow: EpochRow = { epoch };
  return {
    kind: 'transact',
    checks: [
      { key: leaseKey(settings.resource), version: observed.version },
      { key: epochKey(settings.resource), version: observed.epochRowVersion },
    ],
    writes: [
      { key: leaseKey(settings.resource), value: lease },
      { key: epochKey(settings.resource), value: epochRow },
    ],
  };
}

/** Renews a held lease; the epoch row is not written. */
export function renewCall(settings: LeaseSettings, observed: ObservedLease): TableCall {
  const renewals = (observed.row?.renewals ?? 0) + 1;
  const lease: LeaseRow = {
    holder: settings.daemon,
    incarnation: settings.incarnation,
    epoch: observed.epoch,
    durationMs: settings.durationMs,
    renewals,
  };
  return writeLease(settings.resource, observed, lease);
}

/** Releases a held lease, so that the next holder does not have to wait until it lapses. */
export function releaseCall(settings: LeaseSettings, observed: ObservedLease): TableCall {
  const lease: LeaseRow = {
    holder: null,
    incarnation: settings.incarnation,
    epoch: observed.epoch,
    durationMs: settings.durationMs,
    renewals: observed.row?.renewals ?? 0,
  };
  return writeLease(settings.resource, observed, lease);
}

function writeLease(resource: string, observed: ObservedLease, lease: LeaseRow): TableCall {
  const key = leaseKey(resource);
  return {
    kind: 'transact',
    checks: [{ key, version: observed.version }],
    writes: [{ key, value: lease }],
  };
}
