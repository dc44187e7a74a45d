/**
 * Holds streams that have begun while no engine of their software version takes them, but one is expected to: a prefill
 * engine that is switched to the decode stage, or an engine that is full for a moment. The wait ends once that would have
 * happened, well before the deadline of a stream: what can't be served is rejected.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { Exchange } from './exchange.js';
import { delay } from './timer-service.js';

const CHECK_INTERVAL_MS = 100;
/** A longer wait than expected ends after this many times the expected one: the engine has not come. */
const MAX_EXPECTED_WAITS = 2;
/** Bounds the work of the checks. */
const MAX_WAITING = 256;

/** What a stream may expect of the engines of its software version. */
export type StreamOutlook =
  /** An engine can be sent the stream. */
  | { readonly kind: 'usable' }
  /** An engine is expected to take it after a time. */
  | { readonly kind: 'expected'; readonly inMs: number }
  | { readonly kind: 'none' };

/** The streams of one daemon that wait for an engine. */
export class StreamWaits {
  #waiting = 0;

  /**
   * Waits until an engine can be sent the stream.
   * @param outlook looks at the engines anew
   * @returns false if none can, or the caller or this daemon has gone away meanwhile
   */
  async wait(exchange: Exchange, outlook: () => StreamOutlook): Promise<boolean> {
    let latest = outlook();
    if (latest.kind !== 'expected' || this.#waiting >= MAX_WAITING) return false;
    const { timers } = exchange.options;
    const startedMs = timers.nowMs();
    // A stream whose deadline is sooner is rejected at once.
    if (latest.inMs >= exchange.remainingMs()) return false;
    const untilMs = startedMs + Math.max(MAX_EXPECTED_WAITS * latest.inMs, CHECK_INTERVAL_MS);
    this.#waiting += 1;
    const endWait = exchange.progress.begin('waiting-for-engine');
    while (latest.kind === 'expected' && timers.nowMs() < untilMs && isHeld(exchange)) {
      await delay(timers, CHECK_INTERVAL_MS, exchange.signal);
      latest = outlook();
    }
    endWait();
    this.#waiting -= 1;
    logWait(exchange, timers.nowMs() - startedMs, latest.kind);
    return latest.kind === 'usable' && isHeld(exchange);
  }
}

function isHeld(exchange: Exchange): boolean {
  return !exchange.signal.aborted && exchange.options.stop() === undefined;
}

function logWait(exchange: Exchange, waitedMs: number, outcome: StreamOutlook['kind']): void {
  const { log, description } = exchange.options;
  log.write(GATEWAY_EVENTS.streamWaited, {
    request: description.attemptId,
    softwareVersion: exchange.streamOrigin?.softwareVersion ?? '',
    waitedMs: Math.round(waitedMs),
    outcome,
  });
}
