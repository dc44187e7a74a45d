/**
 * What this daemon has seen of one server: how much it has there, and how its answers went. A server
 * that fails is passed over for a time that doubles with each failure in a row, then tried again.
 */

import { MIN_UNREACHABLE_REPORTS, type ReachabilityNotice } from './reachability-notices.js';

const FIRST_EJECTION_MS = 400;
const LONGEST_EJECTION_MS = 4_000;
/** A server that turns calls away is given time to find room, longer with each in a row. */
const FIRST_REST_MS = 100;
const LONGEST_REST_MS = 1_600;
/** How long a server is passed over that another daemon finds silent, unless that is told again. */
const TOLD_SILENT_MS = 1_000;
/** Weight of the newest outcome in the failure rate. */
const FAILURE_WEIGHT = 0.12;
/**
 * A server that owes its first byte for this long, beyond what was expected, is not given more
 * where there is a choice.
 */
const SILENT_AFTER_MS = 400;
const EXPECTATION_FACTOR = 1;
const MOST_EXPECTED_MS = 1_500;

/** One call that a server has not answered yet. */
export interface OpenCall {
  /** Beyond this time it counts as owing its answer. */
  readonly silentAtMs: number;
}

/** This daemon's own record of a server. */
export class ServerHealth {
  readonly #openCalls = new Set<OpenCall>();
  #ejectedUntilMs = 0;
  #restsUntilMs = 0;
  #turnedAwayInARow = 0;
  #failuresInARow = 0;
  #failureRate = 0;
  /** Whether the last attempt to connect was not answered at all. */
  #isSilent = false;
  /** The one call that finds out whether a silent server is back. */
  #trial: OpenCall | undefined;
  #toldSilentUntilMs = 0;
  /** Daemons that found it silent, and when they said so. */
  readonly #witnesses = new Map<string, number>();
  #responseMs: number | undefined;

  /** Calls that are under way. */
  get openCalls(): number {
    return this.#openCalls.size;
  }

  /** Recent share of calls that failed, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Smoothed time of good answers; undefined before the first. */
  get responseMs(): number | undefined {
    return this.#responseMs;
  }

  /** @param expectedMs when the first byte is expected, where that is known */
  open(nowMs: number, expectedMs = 0): OpenCall {
    const grantedMs = EXPECTATION_FACTOR * Math.min(MOST_EXPECTED_MS, Math.max(0, expectedMs));
    const call = { silentAtMs: nowMs + SILENT_AFTER_MS + grantedMs };
    this.#openCalls.add(call);
    if (this.#isSilent) this.#trial ??= call;
    return call;
  }

  close(call: OpenCall): void {
    this.#openCalls.delete(call);
    if (this.#trial === call) this.#trial = undefined;
  }

  /** The server answered something. @returns whether it was taken to be silent until now */
  recordReached(): boolean {
    const wasSilent = this.#isSilent;
    this.#isSilent = false;
    this.#trial = undefined;
    this.#toldSilentUntilMs = 0;
    this.#witnesses.clear();
    return wasSilent;
  }

  /** An attempt to connect was not answered at all. */
  recordConnectUnanswered(nowMs: number): void {
    this.recordBroken(nowMs);
    this.#isSilent = true;
  }

  /** Another daemon found the server silent, or reached it again. */
  applyReachNotice({ isReachable, by }: ReachabilityNotice, nowMs: number): void {
    if (isReachable) {
      if (this.recordReached()) this.#ejectedUntilMs = 0;
      return;
    }
    for (const [witness, atMs] of this.#witnesses) {
      if (nowMs - atMs > TOLD_SILENT_MS) this.#witnesses.delete(witness);
    }
    this.#witnesses.set(by, nowMs);
    const witnesses = this.#witnesses.size + (this.#isSilent ? 1 : 0);
    if (witnesses >= MIN_UNREACHABLE_REPORTS) this.#toldSilentUntilMs = nowMs + TOLD_SILENT_MS;
  }

  /** Whether it answers no connection, as far as is known; it is tried by one call at a time. */
  isUnreachable(nowMs: number): boolean {
    if (nowMs < this.#toldSilentUntilMs) return true;
    return this.#isSilent && (this.isEjected(nowMs) || this.#trial !== undefined);
  }

  /** How much longer it is passed over, as far as is known. */
  skippedForMs(nowMs: number): number {
    const untilMs = Math.max(this.#ejectedUntilMs, this.#restsUntilMs, this.#toldSilentUntilMs);
    return Math.max(0, untilMs - nowMs);
  }

  recordSuccess(elapsedMs: number): void {
    this.#failuresInARow = 0;
    this.#turnedAwayInARow = 0;
    this.#ejectedUntilMs = 0;
    this.#failureRate *= 1 - FAILURE_WEIGHT;
    this.#responseMs =
      this.#responseMs === undefined ? elapsedMs : 0.8 * this.#responseMs + 0.2 * elapsedMs;
  }

  /** The server answered, but with a failure of its own; counted, without ejecting it. */
  recordServerError(): void {
    this.#failureRate += (1 - this.#failureRate) * FAILURE_WEIGHT;
  }

  /** The server did not run a call, and said so. Calls sent before it first did say no more than one. */
  recordRefusal(nowMs: number): void {
    this.recordServerError();
    if (nowMs < this.#restsUntilMs) return;
    const restMs = FIRST_REST_MS * 2 ** this.#turnedAwayInARow;
    this.#restsUntilMs = nowMs + Math.min(LONGEST_REST_MS, restMs);
    this.#turnedAwayInARow += 1;
  }

  /** The server could not be reached, broke off, or answered what is no answer. */
  recordBroken(nowMs: number): void {
    this.recordServerError();
    const ejectionMs = FIRST_EJECTION_MS * 2 ** this.#failuresInARow;
    this.#ejectedUntilMs = nowMs + Math.min(LONGEST_EJECTION_MS, ejectionMs);
    this.#failuresInARow += 1;
  }

  /** Whether it is to be passed over where there is another. */
  isSuspect(nowMs: number): boolean {
    return this.isEjected(nowMs) || nowMs < this.#restsUntilMs || this.#owesAnswer(nowMs);
  }

  /** Whether it failed lately; one that is only slow is not. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  #owesAnswer(nowMs: number): boolean {
    for (const call of this.#openCalls) if (call.silentAtMs < nowMs) return true;
    return false;
  }
}
