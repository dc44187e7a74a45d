/**
 * Idempotency claims: one row for each tenant's key, inserted before the first dispatch, so that no
 * daemon of the fleet runs the work of one key twice. The holder's daemon and incarnation tell a
 * later repeat whether the holder may still be at work.
 */
import { z } from 'zod';
import type { DaemonName, Incarnation, RequestId } from '../common/identifiers.js';
import type { TableRow } from '../platform/table.js';
import type { RecordedOutcome, RequestDescription } from './types.js';

const faultSchema = z
  .object({
    code: z.string(),
    message: z.string(),
    retryable: z.boolean(),
    outcome: z.enum(['refused-not-run', 'unknown']),
  })
  .loose();

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('answered'),
    status: z.int(),
    contentType: z.string(),
    body: z.string(),
  }),
  z.object({ kind: z.literal('answered-too-large-to-replay'), status: z.int() }),
  z.object({ kind: z.literal('failed'), fault: faultSchema }),
]);

const claimSchema = z.object({
  request: z.string(),
  daemon: z.string(),
  incarnation: z.number(),
  bodyDigest: z.string().nullable(),
  outcome: outcomeSchema.nullable(),
});

/** The value of the row `claim/<tenant>/<key>`. */
export interface ClaimRow {
  readonly request: RequestId;
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly bodyDigest: string | null;
  /** Null while the holder is at work. */
  readonly outcome: RecordedOutcome | null;
}

/** Who makes a claim. */
export interface ClaimHolder {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
}

/** What a row that is already there means for a request that wants its key. */
export type ClaimFinding =
  /** Absent, or held by this very request: nothing stands in the way. */
  | { readonly kind: 'absent' }
  | { readonly kind: 'own'; readonly version: number }
  | { readonly kind: 'other-body' }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'in-progress' }
  /** Left pending by a holder that is gone. */
  | { readonly kind: 'orphaned'; readonly version: number }
  | { readonly kind: 'unreadable' };

/** The key of a request's claim row, or null when it carries no idempotency key. */
export function claimKey(description: RequestDescription): string | null {
  if (description.idempotencyKey === null) return null;
  return `claim/${description.tenant}/${description.idempotencyKey}`;
}

/** The pending claim of a request. */
export function pendingClaim(description: RequestDescription, holder: ClaimHolder): ClaimRow {
  return {
    request: description.id,
    daemon: holder.daemon,
    incarnation: holder.incarnation,
    bodyDigest: description.bodyDigest,
    outcome: null,
  };
}

/** Reads a row from the point of view of a request that wants its key. */
export function readClaim(
  row: TableRow | undefined,
  description: RequestDescription,
  isOrphaned: (daemon: DaemonName, incarnation: Incarnation, request: RequestId) => boolean,
): ClaimFinding {
  if (row === undefined || row.value === null) return { kind: 'absent' };
  const parsed = claimSchema.safeParse(row.value);
  if (!parsed.success) return { kind: 'unreadable' };
  const claim = parsed.data as ClaimRow;
  if (claim.request === description.id) return { kind: 'own', version: row.version };
  if (claim.bodyDigest !== description.bodyDigest) return { kind: 'other-body' };
  if (claim.outcome !== null) return { kind: 'recorded', outcome: claim.outcome };
  if (isOrphaned(claim.daemon, claim.incarnation, claim.request)) {
    return { kind: 'orphaned', version: row.version };
  }
  return { kind: 'in-progress' };
}
