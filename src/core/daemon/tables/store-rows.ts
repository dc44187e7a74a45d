/** Rows of the tables that are stored in the table service: `leases`, `orders`, `changes`. */

import type { MonotonicMs } from '../../common/time.js';
import { changeKey, parseChangeRow } from '../../configuration/index.js';
import type { Row, TableName } from '../../language/index.js';
import { authorityOf, isInForce, type LeaseRow, leaseKey } from '../../lease/index.js';
import { describeAction, type IntentRow, intentKey } from '../../orders/index.js';
import type { TableRow } from '../../platform/table.js';
import type { DaemonState } from '../state.js';

/** A query table that is read from the table service. */
export interface StoredTable {
  readonly prefix: string;
  /** The field that follows the prefix in a row's key. */
  readonly keyField: string;
  rowOf(row: TableRow): Row | null;
}

const LEASE_PREFIX = leaseKey('');
const INTENT_PREFIX = intentKey('');
const CHANGE_PREFIX = changeKey('');

/** The stored tables by name. */
export const STORED_TABLES: Partial<Record<TableName, StoredTable>> = {
  leases: { prefix: LEASE_PREFIX, keyField: 'resource', rowOf: leaseRow },
  orders: { prefix: INTENT_PREFIX, keyField: 'engine', rowOf: orderRow },
  changes: { prefix: CHANGE_PREFIX, keyField: 'id', rowOf: changeRow },
};

function leaseRow(row: TableRow): Row | null {
  if (row.value === null) return null;
  const { holder, epoch, durationMs } = row.value as LeaseRow;
  const resource = row.key.slice(LEASE_PREFIX.length);
  return { resource, holder, epoch, durationMs, remainingMs: null };
}

/**
 * The rows of `leases` with the remaining time of the leases that this daemon holds. A stored lease
 * row has no expiry time, so only the holder knows how long its lease lasts.
 */
export function withOwnRemainingTime(
  rows: readonly Row[],
  state: DaemonState,
  now: MonotonicMs,
): readonly Row[] {
  const remaining = new Map<string, number>();
  for (const { lease } of state.duties.values()) {
    const authority = authorityOf(lease);
    if (isInForce(authority, now)) {
      remaining.set(lease.settings.resource, Math.round(authority.until - now));
    }
  }
  return rows.map((row) => ({ ...row, remainingMs: remaining.get(String(row.resource)) ?? null }));
}

function orderRow(row: TableRow): Row | null {
  if (row.value === null) return null;
  const { orderId, action, phase, outcome, epoch, reason } = row.value as IntentRow;
  const engine = row.key.slice(INTENT_PREFIX.length);
  return { engine, order: orderId, action: describeAction(action), phase, outcome, epoch, reason };
}

function changeRow(row: TableRow): Row | null {
  const record = parseChangeRow(row);
  if (record === null) return null;
  const id = row.key.slice(CHANGE_PREFIX.length);
  const { version, description, operator = null, at = null } = record;
  return { id, version, operator, at, description };
}
