/** What a request asks of the waiting room, and what the log says of it there. */
import type { Placement } from '../../core/gateway/index.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { Exchange } from './exchange.js';

/** What a request asks of the room. */
export interface AdmissionCheck {
  /** Requests that wait for the same servers and are alike. */
  readonly lane: string;
  /** The time of a server that it takes up. */
  readonly costMs: number;
  /** What this daemon's part of the servers takes for one like it. */
  readonly spacingMs: number;
  /** Its place by what is believed now. */
  place(): Placement;
  /** Whether it is sent when it was held as long as it may be; it is refused otherwise. */
  readonly isSentAtHoldLimit: boolean;
  /** What the place was decided from, and how old that is. */
  inputs(): LogFields;
  /** Takes its place at a server until it is sent, so that no other gets the same room; gives it back. */
  reserve(): () => void;
}

/** Gives back what `reserve` took; to be called once, when the request is sent. */
export type ReleaseReservation = () => void;

/** A time for a log line; null for one that is not known, or for ever. */
export function roundedOrNull(spanMs: number): number | null {
  return Number.isFinite(spanMs) ? Math.round(spanMs) : null;
}

/** The request, and what was believed when it was last asked. */
export function admissionLogFields({ options }: Exchange, ask: AdmissionCheck): LogFields {
  const { description, rank, tenant } = options;
  return {
    request: description.attemptId,
    lane: ask.lane,
    rank,
    tenant: tenant?.name ?? '',
    ...ask.inputs(),
  };
}
