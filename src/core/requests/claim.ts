/**
 * Idempotency claims: one row per tenant and key, inserted before the first dispatch, so that no
 * two daemons of the fleet run the request of one key. From the holder's daemon and incarnation, a
 * later repeat determines whether the holder may still be running the request.
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
  /** Null while the request is in progress. */
  readonly outcome: RecordedOutcome | null;
}

/** The daemon, and its incarnation, that makes a claim. */
export interface ClaimHolder {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
}

/** What the stored claim row means for a request with the same key. */
export type ClaimFinding =
  /** No row, or (`own`) a row of this request itself: the request may be dispatched. */
  | { readonly kind: 'absent' }
  | { readonly kind: 'own'; readonly version: number }
  | { readonly kind: 'other-body' }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'in-progress' }
  /** Left pending by a holder that can no longer finish it. */
  | { readonly kind: 'orphaned'; readonly version: number }
  | { readonly kind: 'unreadable' };

/** The key of a request's claim row, or null when the request has no idempotency key. */
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

/** Interprets a claim row for a request with the same key. */
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
