/**
 * What a daemon has read of a lease's rows, and what that says about the lease's holder.
 */
import type { MonotonicMs } from '../common/time.js';
import { isFenceOf } from '../platform/era-fence.js';
import { FIRST_ERA } from '../platform/store-position.js';
import type { TableAnswer, TableRow } from '../platform/table.js';
import type { LeaseSettings, ObservedLease } from './state.js';
import { type EpochRow, epochKey, type LeaseRow, leaseKey } from './types.js';

const ABSENT: ObservedLease = {
  era: FIRST_ERA,
  version: 0,
  row: null,
  epochRowVersion: 0,
  epoch: 0,
  firstSeenAt: 0,
  lastSeenAt: 0,
};

/**
 * Merges the rows of an answer into the observed state. A version that was seen before keeps the time when it was first
 * seen. In a new era of the store, only the highest epoch is kept.
 */
export function applyRows(
  settings: LeaseSettings,
  known: ObservedLease | null,
  { rows, era = FIRST_ERA }: TableAnswer,
  now: MonotonicMs,
): ObservedLease {
  if (known !== null && era < known.era) return known;
  const isKnownEra = known?.era === era;
  let observed = isKnownEra
    ? known
    : { ...ABSENT, era, epoch: known?.epoch ?? 0, firstSeenAt: now };
  for (const row of rows) {
    if (row.key === leaseKey(settings.resource)) observed = applyLeaseRow(observed, row, now);
    if (row.key === epochKey(settings.resource)) observed = applyEpochRow(observed, row);
  }
  return { ...observed, lastSeenAt: now };
}

function applyLeaseRow(observed: ObservedLease, row: TableRow, now: MonotonicMs): ObservedLease {
  if (row.version < observed.version) return observed;
  const value = row.value as LeaseRow | null;
  const firstSeenAt = row.version === observed.version ? observed.firstSeenAt : now;
  const epoch = Math.max(observed.epoch, value?.epoch ?? 0);
  return { ...observed, version: row.version, row: value, firstSeenAt, epoch };
}

function applyEpochRow(observed: ObservedLease, row: TableRow): ObservedLease {
  if (row.version < observed.epochRowVersion) return observed;
  const value = row.value as EpochRow | null;
  const epoch = Math.max(observed.epoch, value?.epoch ?? 0);
  return { ...observed, epochRowVersion: row.version, epoch };
}

/**
 * Whether nobody holds the lease: the row is absent, or the lease was released. After the store was restored from an
 * older copy, a holder's row may be lost, so the lease counts as free only if a row of the current era says so.
 */
export function isFree({ row, era }: ObservedLease): boolean {
  if (row === null) return era === FIRST_ERA;
  return row.holder === null && isFenceOf(era, row.epoch);
}

/** Whether the row names this incarnation of this daemon; a row of an earlier era names no valid holder. */
export function holdsRow(settings: LeaseSettings, { row, era }: ObservedLease): boolean {
  if (row === null || !isFenceOf(era, row.epoch)) return false;
  return row.holder === settings.daemon && row.incarnation === settings.incarnation;
}

/** The time at which the lease lapses unless its row's version changes before. */
export function lapsesAt(settings: LeaseSettings, observed: ObservedLease): MonotonicMs {
  const durationMs = observed.row?.durationMs ?? settings.durationMs;
  return observed.firstSeenAt + durationMs + settings.marginMs;
}
