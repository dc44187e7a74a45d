/**
 * The one source of time and timers; parts subscribe to it, so that tests run them in virtual time.
 */

/** Ends a subscription; harmless after it has fired. */
export type CancelTimer = () => void;

/** A monotonic clock and its timers. */
export interface TimerService {
  nowMs(): number;
  /** Calls once after a delay. */
  after(delayMs: number, callback: () => void): CancelTimer;
}

/** Time as the process has it. */
export const SYSTEM_TIMERS: TimerService = {
  nowMs: () => performance.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** The time of day, in milliseconds since the start of 1970. */
export type WallClock = () => number;

/** The time of day runs so much ahead of the steady clock at most when nothing but its regulation moves it. */
const REGULATION_MS = 50;

/**
 * Timers whose clock counts the time of a suspended machine, for what must not be believed to be younger than it is:
 * a lease whose holder was suspended past its end has ended. The steady clock stands still meanwhile and the time of
 * day does not, so where the latter has run ahead, the machine was suspended, or its time of day was set. Which of the
 * two can't be told, and is taken for the former: a lease is then given up too soon, and is to be had again.
 */
export function suspensionAwareTimers(timers: TimerService, wallClock: WallClock): TimerService {
  let aheadMs = wallClock() - timers.nowMs();
  let suspendedMs = 0;
  const nowMs = () => {
    const steadyMs = timers.nowMs();
    const newAheadMs = wallClock() - steadyMs;
    const jumpMs = newAheadMs - aheadMs;
    if (jumpMs > REGULATION_MS) suspendedMs += jumpMs;
    aheadMs = newAheadMs;
    return steadyMs + suspendedMs;
  };
  return { nowMs, after: (delayMs, callback) => timers.after(delayMs, callback) };
}

/**
 * The time of day as it was at the start of the process, carried on by the steady clock: a jump of the
 * machine's clock meanwhile changes nothing.
 */
export function steadyWallClock(timers: TimerService, unixMsNow: number): WallClock {
  const startedMs = timers.nowMs();
  return () => unixMsNow + timers.nowMs() - startedMs;
}

/** Resolves after a delay, or at once when the signal is aborted. */
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
 * Makes a call whose signal is aborted after a time, or with another signal; the call settles itself.
 * @param outer ends the call sooner; undefined when nothing but the time does
 */
export async function callWithTimeout<Result>(
  timers: TimerService,
  limitMs: number,
  outer: AbortSignal | undefined,
  call: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const ended = new AbortController();
  const end = () => ended.abort();
  if (outer?.aborted === true) end();
  outer?.addEventListener('abort', end, { once: true });
  const cancel = timers.after(limitMs, end);
  try {
    return await call(ended.signal);
  } finally {
    cancel();
    outer?.removeEventListener('abort', end);
  }
}
