/** The admission check of one request, and its log fields. */
import type { Placement } from '../../core/gateway/index.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { Exchange } from './exchange.js';

/** Decides whether one request is sent, held or refused. */
export interface AdmissionCheck {
  /** Requests of one lane wait for the same servers and are of one kind. */
  readonly lane: string;
  /** Server time that the request is expected to take. */
  readonly costMs: number;
  /** Time that this daemon's share of the servers takes for one such request; spaces out the retries of refused callers. */
  readonly spacingMs: number;
  /** Decides by the current view of the servers. */
  decide(): Placement;
  /** Whether the request is sent, rather than refused, once it was held for the maximum time. */
  readonly isSentAtHoldLimit: boolean;
  /** Log fields: what the decision was made from, and the age of that. */
  inputs(): LogFields;
  /**
   * Reserves capacity at a server until the request is sent, so that no other request is admitted to the same capacity;
   * returns the function that releases it.
   */
  reserve(): () => void;
}

/** Releases what `reserve` took; to be called once, when the request is sent. */
export type ReleaseReservation = () => void;

/** A time for a log line; null where it is unknown or infinite. */
export function roundedOrNull(spanMs: number): number | null {
  return Number.isFinite(spanMs) ? Math.round(spanMs) : null;
}

/** Log fields of the request and of its latest check. */
export function admissionLogFields({ options }: Exchange, check: AdmissionCheck): LogFields {
  const { description, rank, tenant } = options;
  return {
    request: description.attemptId,
    lane: check.lane,
    rank,
    tenant: tenant?.name ?? '',
    ...check.inputs(),
  };
}
