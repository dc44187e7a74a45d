/**
 * This daemon's own observations of one server: its open calls there, and how earlier ones ended. A server that fails
 * is skipped for a time that doubles with each consecutive failure, then tried again.
 */

import { MIN_UNREACHABLE_REPORTS, type ReachabilityNotice } from './reachability-notices.js';

const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4_000;
/**
 * Time for which a server that refuses calls is skipped, to let it free capacity; longer with each consecutive refusal.
 */
const FIRST_REFUSAL_SKIP_MS = 100;
const MAX_REFUSAL_SKIP_MS = 1_600;
/**
 * Time for which another daemon's notice that a server is unreachable counts, and for which the server is skipped after
 * the last such notice.
 */
const NOTICE_VALID_MS = 1_000;
/** Weight of the newest outcome in the failure rate. */
const FAILURE_WEIGHT = 0.12;
/**
 * Time beyond the expected one after which a first byte is overdue; the server is then given no further calls if there
 * is another.
 */
const OVERDUE_AFTER_MS = 400;
const EXPECTATION_FACTOR = 1;
const MAX_EXPECTED_MS = 1_500;

/** One call that a server has not answered yet. */
export interface OpenCall {
  readonly sentAtMs: number;
  /** Time after which the answer is overdue. */
  readonly overdueAtMs: number;
}

/** This daemon's own record of a server. */
export class ServerHealth {
  readonly #openCalls = new Set<OpenCall>();
  #ejectedUntilMs = 0;
  #refusalSkipUntilMs = 0;
  #consecutiveRefusals = 0;
  #consecutiveFailures = 0;
  #failureRate = 0;
  /** Whether the last attempt to connect was not answered at all. */
  #isConnectUnanswered = false;
  /** The one call that tests whether a server that did not answer is reachable again. */
  #trial: OpenCall | undefined;
  #unreachableUntilMs = 0;
  /** Daemons that found the server unreachable, with the time of their last notice. */
  readonly #witnesses = new Map<string, number>();
  #responseMs: number | undefined;
  #heardAtMs = Number.NEGATIVE_INFINITY;

  /** Number of calls in progress. */
  get openCalls(): number {
    return this.#openCalls.size;
  }

  /** Recent share of calls that failed, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Smoothed response time of successful calls; undefined before the first. */
  get responseMs(): number | undefined {
    return this.#responseMs;
  }

  /** @param expectedMs expected time until the first byte, if known */
  open(nowMs: number, expectedMs = 0): OpenCall {
    const allowedMs = EXPECTATION_FACTOR * Math.min(MAX_EXPECTED_MS, Math.max(0, expectedMs));
    const call = { sentAtMs: nowMs, overdueAtMs: nowMs + OVERDUE_AFTER_MS + allowedMs };
    this.#openCalls.add(call);
    if (this.#isConnectUnanswered) this.#trial ??= call;
    return call;
  }

  close(call: OpenCall): void {
    this.#openCalls.delete(call);
    if (this.#trial === call) this.#trial = undefined;
  }

  /**
   * Records that the server answered in any way.
   * @returns whether its last connection attempt was unanswered until now
   */
  recordReached(): boolean {
    const wasUnanswered = this.#isConnectUnanswered;
    this.#isConnectUnanswered = false;
    this.#trial = undefined;
    this.#unreachableUntilMs = 0;
    this.#witnesses.clear();
    return wasUnanswered;
  }

  /** Records that an attempt to connect was not answered at all. */
  recordConnectUnanswered(nowMs: number): void {
    this.recordBroken(nowMs);
    this.#isConnectUnanswered = true;
  }

  /** Forgets that connections failed, as this daemon was cut off from the server. */
  forgetConnectFailures(): void {
    this.recordReached();
    this.#ejectedUntilMs = 0;
    this.#consecutiveFailures = 0;
  }

  /** Applies another daemon's notice that the server is unreachable, or reachable again. */
  applyReachNotice({ isReachable, by }: ReachabilityNotice, nowMs: number): void {
    if (isReachable) {
      if (this.recordReached()) this.#ejectedUntilMs = 0;
      return;
    }
    for (const [witness, atMs] of this.#witnesses) {
      if (nowMs - atMs > NOTICE_VALID_MS) this.#witnesses.delete(witness);
    }
    this.#witnesses.set(by, nowMs);
    const witnesses = this.#witnesses.size + (this.#isConnectUnanswered ? 1 : 0);
    if (witnesses >= MIN_UNREACHABLE_REPORTS) this.#unreachableUntilMs = nowMs + NOTICE_VALID_MS;
  }

  /** Whether the server is believed to answer no connection; one call at a time still tests it. */
  isUnreachable(nowMs: number): boolean {
    if (nowMs < this.#unreachableUntilMs) return true;
    return this.#isConnectUnanswered && (this.isEjected(nowMs) || this.#trial !== undefined);
  }

  /** Remaining time for which it is skipped, as far as is known. */
  skippedForMs(nowMs: number): number {
    const untilMs = Math.max(
      this.#ejectedUntilMs,
      this.#refusalSkipUntilMs,
      this.#unreachableUntilMs,
    );
    return Math.max(0, untilMs - nowMs);
  }

  recordSuccess(elapsedMs: number): void {
    this.#consecutiveFailures = 0;
    this.#consecutiveRefusals = 0;
    this.#ejectedUntilMs = 0;
    this.#failureRate *= 1 - FAILURE_WEIGHT;
    this.#responseMs =
      this.#responseMs === undefined ? elapsedMs : 0.8 * this.#responseMs + 0.2 * elapsedMs;
  }

  /** Records that the server sent something: an answer, or a part of one. */
  recordHeard(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /**
   * Records that a call was given up without an answer. A server that is only slow sends something to other calls
   * meanwhile; one that has sent nothing since an overdue call was made has stopped answering.
   * @returns whether the server is skipped from now on, as it has stopped answering
   */
  recordGivenUp({ sentAtMs, overdueAtMs }: OpenCall, nowMs: number): boolean {
    const isSilent = nowMs >= overdueAtMs && this.#heardAtMs < sentAtMs;
    if (!isSilent || this.isEjected(nowMs)) return false;
    this.recordBroken(nowMs);
    return true;
  }

  /** Records an error answer of the server; it raises the failure rate, but does not eject the server. */
  recordServerError(): void {
    this.#failureRate += (1 - this.#failureRate) * FAILURE_WEIGHT;
  }

  /**
   * Records that the server refused a call without running it. Refusals that arrive while the server is skipped, for
   * calls sent earlier, do not extend that time.
   */
  recordRefusal(nowMs: number): void {
    this.recordServerError();
    if (nowMs < this.#refusalSkipUntilMs) return;
    const skipMs = FIRST_REFUSAL_SKIP_MS * 2 ** this.#consecutiveRefusals;
    this.#refusalSkipUntilMs = nowMs + Math.min(MAX_REFUSAL_SKIP_MS, skipMs);
    this.#consecutiveRefusals += 1;
  }

  /** Records that the server could not be reached, broke off, or sent an invalid answer. */
  recordBroken(nowMs: number): void {
    this.recordServerError();
    const ejectionMs = FIRST_EJECTION_MS * 2 ** this.#consecutiveFailures;
    this.#ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
    this.#consecutiveFailures += 1;
  }

  /** Whether the server is skipped while there is another one. */
  isSuspect(nowMs: number): boolean {
    return this.isEjected(nowMs) || nowMs < this.#refusalSkipUntilMs || this.#hasOverdueCall(nowMs);
  }

  /** Whether the server failed recently; a server that is only slow is not ejected. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  #hasOverdueCall(nowMs: number): boolean {
    for (const call of this.#openCalls) if (call.overdueAtMs < nowMs) return true;
    return false;
  }
}
