/**
 * What a daemon has read of a lease's rows, and what follows from it.
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
 * Takes rows of an answer into what is known. A version seen before keeps its first time; in a new era of the store
 * nothing but the highest epoch is known.
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
    if (row.key === leaseKey(settings.resource)) observed = absorbLeaseRow(observed, row, now);
    if (row.key === epochKey(settings.resource)) observed = absorbEpochRow(observed, row);
  }
  return { ...observed, lastSeenAt: now };
}

function absorbLeaseRow(observed: ObservedLease, row: TableRow, now: MonotonicMs): ObservedLease {
  if (row.version < observed.version) return observed;
  const value = row.value as LeaseRow | null;
  const firstSeenAt = row.version === observed.version ? observed.firstSeenAt : now;
  const epoch = Math.max(observed.epoch, value?.epoch ?? 0);
  return { ...observed, version: row.version, row: value, firstSeenAt, epoch };
}

function absorbEpochRow(observed: ObservedLease, row: TableRow): ObservedLease {
  if (row.version < observed.epochRowVersion) return observed;
  const value = row.value as EpochRow | null;
  const epoch = Math.max(observed.epoch, value?.epoch ?? 0);
  return { ...observed, epochRowVersion: row.version, epoch };
}

/**
 * Whether nobody holds the lease: it is absent or was released. Where the store has come back from an older copy, the
 * row of a holder may be lost; then that is sure only of a row of this era.
 */
export function isFree({ row, era }: ObservedLease): boolean {
  if (row === null) return era === FIRST_ERA;
  return row.holder === null && isFenceOf(era, row.epoch);
}

/** Whether the row names this life of this daemon; a row of an era before names nobody. */
export function holdsRow(settings: LeaseSettings, { row, era }: ObservedLease): boolean {
  if (row === null || !isFenceOf(era, row.epoch)) return false;
  return row.holder === settings.daemon && row.incarnation === settings.incarnation;
}

/** From when on the lease has lapsed if its row's version does not change until then. */
export function lapsesAt(settings: LeaseSettings, observed: ObservedLease): MonotonicMs {
  const durationMs = observed.row?.durationMs ?? settings.durationMs;
  return observed.firstSeenAt + durationMs + settings.marginMs;
}
