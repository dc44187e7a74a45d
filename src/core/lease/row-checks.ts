/**
 * Checks the rows of a lease and the fencing tokens in records of duties, before anything is decided on them: another
 * program may write to the table.
 */
import * as z from 'zod/mini';
import type { TableResult } from '../platform/table.js';
import { problemOf } from '../platform/unreadable-rows.js';
import { epochKey, leaseKey } from './types.js';

/** The token after the largest one must still be higher than it. */
const MAX_FENCE = Number.MAX_SAFE_INTEGER - 1;
/** Far longer than any lease; a row with a longer one would be waited for. */
const MAX_LEASE_MS = 86_400_000;

/** A fencing token. */
export const fenceSchema = z.int().check(z.minimum(0), z.maximum(MAX_FENCE));

const leaseRowSchema = z.object({
  holder: z.nullable(z.string()),
  incarnation: z.number(),
  epoch: fenceSchema,
  durationMs: z.number().check(z.minimum(0), z.maximum(MAX_LEASE_MS)),
  renewals: z.number(),
});
const epochRowSchema = z.object({ epoch: fenceSchema });

/** A row of a lease that cannot be read. */
export interface UnreadableLeaseRow {
  readonly key: string;
  readonly problem: string;
}

/** The first row of an answer that cannot be read as a row of the lease; undefined where all can, or are absent. */
export function unreadableLeaseRow(
  resource: string,
  result: TableResult,
): UnreadableLeaseRow | undefined {
  if (!('rows' in result)) return undefined;
  for (const { key, value } of result.rows) {
    const schema = schemaOf(resource, key);
    if (value === null || schema === undefined) continue;
    const parsed = schema.safeParse(value);
    if (!parsed.success) return { key, problem: problemOf(parsed.error) };
  }
  return undefined;
}

function schemaOf(
  resource: string,
  key: string,
): typeof leaseRowSchema | typeof epochRowSchema | undefined {
  switch (key) {
    case leaseKey(resource):
      return leaseRowSchema;
    case epochKey(resource):
      return epochRowSchema;
    default:
      return undefined;
  }
}
