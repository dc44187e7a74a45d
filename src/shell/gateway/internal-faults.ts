/**
 * Faults of the code: an exception ends the request or the task that it came up in, and nothing else. Each one is logged,
 * and `GatewayLog` counts them.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Why a request that an exception ended failed, as its caller reads it. */
export const INTERNAL_FAULT_REASON = 'a fault of this daemon';
const MAX_STACK_LENGTH = 1_500;
/** Bounds the lines of a loop whose input makes it fail each time. */
const LOOP_RESTART_DELAY_MS = 1_000;

/** Where a fault came up. */
export interface FaultSite {
  /** The work that it ended. */
  readonly task: string;
  /** The id of the attempt that it ended; empty for the daemon's own work. */
  readonly request: string;
  /** The server that was called; empty where none was. */
  readonly server: string;
}

/** An exception as the fields of a log line. */
export function describeFault(exception: unknown): {
  readonly fault: string;
  readonly stack: string;
} {
  const fault = exception instanceof Error ? exception : new Error(String(exception));
  return { fault: fault.message, stack: (fault.stack ?? '').slice(0, MAX_STACK_LENGTH) };
}

/** Logs an exception that nothing handles. */
export function logFault(
  log: Pick<GatewayLog, 'write'>,
  site: FaultSite,
  exception: unknown,
): void {
  log.write(GATEWAY_EVENTS.internalFault, { ...site, ...describeFault(exception) });
}

/** Lets work run that nobody awaits; its rejection is logged. */
export function runInBackground(
  log: Pick<GatewayLog, 'write'>,
  task: string,
  work: Promise<unknown>,
): void {
  work.catch((exception: unknown) => logFault(log, { task, request: '', server: '' }, exception));
}

/** Runs a loop that ends only when it is stopped: after a fault it begins again. */
export function runLoopInBackground(
  { log, timers }: { readonly log: Pick<GatewayLog, 'write'>; readonly timers: TimerService },
  task: string,
  loop: () => Promise<void>,
): void {
  const run = (): void => {
    loop().catch((exception: unknown) => {
      logFault(log, { task, request: '', server: '' }, exception);
      timers.after(LOOP_RESTART_DELAY_MS, run);
    });
  };
  run();
}
