/**
 * Decides which requests a stopping daemon still sends to servers. It cuts off what runs at a fixed time, so it takes a
 * request whose deadline comes first: that ends in time whatever servers do. An estimate may be wrong, and counts only
 * while new connections may still arrive: their callers have not been told that the daemon stops, and one that is
 * rejected may come back here, or to another daemon that stops. Where there is one, it then decides alone: a request
 * that is expected to outlast the stop is expected to miss an earlier deadline too.
 */

/** The times of a stop, by the daemon's timers. */
export interface StopTimes {
  /** From then on no new connections arrive. */
  readonly listenerClosesAtMs: number;
  /** What still runs then is cut off. */
  readonly cutAtMs: number;
}

/** How long a request is expected to run. */
export type DurationEstimate =
  /** Nothing has been learnt yet that it could be based on. */
  | { readonly kind: 'unknown' }
  /** By the configuration, where that says how long the requests of a route take. */
  | { readonly kind: 'configured'; readonly durationMs: number }
  /** By the times of earlier requests. */
  | { readonly kind: 'learnt'; readonly durationMs: number };

/** For requests of which nothing is learnt. */
export const UNKNOWN_DURATION: DurationEstimate = { kind: 'unknown' };

/** Input to `endsBeforeCut`. */
export interface StopAdmissionInput {
  readonly stop: StopTimes;
  readonly nowMs: number;
  /** The earlier of the caller's deadline and the route's time-out. */
  readonly deadlineAtMs: number;
  readonly estimate: DurationEstimate;
}

/** Whether a stopping daemon can promise that a request ends before it cuts off what runs. */
export function endsBeforeCut({
  stop,
  nowMs,
  deadlineAtMs,
  estimate,
}: StopAdmissionInput): boolean {
  const endsForCertain = deadlineAtMs <= stop.cutAtMs;
  if (nowMs >= stop.listenerClosesAtMs) return endsForCertain;
  switch (estimate.kind) {
    case 'unknown':
      return endsForCertain;
    case 'configured':
    case 'learnt':
      return nowMs + estimate.durationMs <= stop.cutAtMs;
  }
}
