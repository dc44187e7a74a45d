/** The single source of time and timers, which tests replace with virtual time. */

/** Cancels a timer; has no effect after the timer has fired. */
export type CancelTimer = () => void;

/** A monotonic clock and its timers. */
export interface TimerService {
  nowMs(): number;
  /** Calls `callback` once after a delay. */
  after(delayMs: number, callback: () => void): CancelTimer;
}

/** The longest delay of `setTimeout`; a longer one fires at once. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** The process's own clock and timers. */
export const SYSTEM_TIMERS: TimerService = {
  nowMs: () => performance.now(),
  after: (delayMs, callback) => {
    let timer: NodeJS.Timeout;
    const wait = (remainingMs: number): void => {
      const stepMs = Math.min(remainingMs, MAX_TIMEOUT_MS);
      timer = setTimeout(() => {
        if (remainingMs > stepMs) wait(remainingMs - stepMs);
        else callback();
      }, stepMs);
    };
    wait(Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** The time of day, in milliseconds since the start of 1970. */
export type WallClock = () => number;

/** Maximum lead that the time of day gains on the monotonic clock between two readings by clock discipline (NTP) alone. */
const MAX_SLEW_MS = 50;

/**
 * Timers whose clock includes the time during which the machine was suspended. Leases need this: a lease has expired if
 * its holder was suspended past its end. The monotonic clock stops during a suspension and the time of day does not, so
 * when the time of day has jumped ahead, the machine was suspended or its time of day was set. The two cannot be told
 * apart and both count as a suspension: at worst a lease is given up too early and has to be acquired again.
 */
export function suspensionAwareTimers(timers: TimerService, wallClock: WallClock): TimerService {
  let leadMs = wallClock() - timers.nowMs();
  let suspendedMs = 0;
  const nowMs = () => {
    const monotonicMs = timers.nowMs();
    const newLeadMs = wallClock() - monotonicMs;
    const jumpMs = newLeadMs - leadMs;
    if (jumpMs > MAX_SLEW_MS) suspendedMs += jumpMs;
    leadMs = newLeadMs;
    return monotonicMs + suspendedMs;
  };
  return { nowMs, after: (delayMs, callback) => timers.after(delayMs, callback) };
}

/**
 * The time of day at the start of the process, advanced by the monotonic clock, so that later jumps of the machine's
 * time of day have no effect.
 */
export function steadyWallClock(timers: TimerService, unixMsNow: number): WallClock {
  const startedMs = timers.nowMs();
  return () => unixMsNow + timers.nowMs() - startedMs;
}

/** Resolves after a delay, or as soon as the signal is aborted. */
export function delay(timers: TimerService, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve();
    const finish = () => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const cancel = timers.after(delayMs, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}

/**
 * Makes a call with a signal that is aborted after a time limit or together with another signal. The call itself has to
 * settle when its signal is aborted. A call of several parts begins the time limit anew with each `recordProgress`.
 * @param outer aborts the call early; undefined for the time limit alone
 */
export async function callWithTimeout<Result>(
  timers: TimerService,
  limitMs: number,
  outer: AbortSignal | undefined,
  call: (signal: AbortSignal, recordProgress: () => void) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const abortCall = () => controller.abort();
  if (outer?.aborted === true) abortCall();
  outer?.addEventListener('abort', abortCall, { once: true });
  let cancel = timers.after(limitMs, abortCall);
  const recordProgress = () => {
    cancel();
    cancel = timers.after(limitMs, abortCall);
  };
  try {
    return await call(controller.signal, recordProgress);
  } finally {
    cancel();
    outer?.removeEventListener('abort', abortCall);
  }
}
