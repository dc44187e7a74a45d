/**
 * Decides which requests a stopping daemon still sends to servers. It cuts off what runs at a fixed time, so it takes a
 * request whose deadline comes first: that ends in time whatever servers do. An estimate may be wrong, and is a promise
 * only while new connections may still arrive: their callers have not been told that the daemon stops, and one that is
 * rejected may come back here, or to another daemon that stops.
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
  | ({ readonly kind: 'configured' } & ExpectedDuration)
  /** By the times of earlier requests. */
  | ({ readonly kind: 'learnt' } & ExpectedDuration);

interface ExpectedDuration {
  /** Of a usual run. */
  readonly expectedMs: number;
  /** Of a long run, as only few take longer. */
  readonly longMs: number;
}

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
export function endsBeforeCut(input: StopAdmissionInput): boolean {
  return meetsDeadlineBeforeCut(input) || isExpectedBeforeCut(input);
}

/** A request that is expected to miss its deadline is left to another daemon. */
function meetsDeadlineBeforeCut({
  stop,
  nowMs,
  deadlineAtMs,
  estimate,
}: StopAdmissionInput): boolean {
  if (deadlineAtMs > stop.cutAtMs) return false;
  return estimate.kind === 'unknown' || nowMs + estimate.expectedMs <= deadlineAtMs;
}

function isExpectedBeforeCut({ stop, nowMs, estimate }: StopAdmissionInput): boolean {
  if (nowMs >= stop.listenerClosesAtMs || estimate.kind === 'unknown') return false;
  return nowMs + estimate.longMs <= stop.cutAtMs;
}
