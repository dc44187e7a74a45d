/**
 * Calls for callers that their servers have not answered, by server. A server that stands still reads them when it goes
 * on, also those that this daemon has given up, so a departure is logged with the calls that may still arrive there.
 */
import { isSameBoot, type ServerBoot } from './server-directory.js';

/** A call that was given up is forgotten after this time. */
const RETENTION_MS = 60_000;
/** Calls that were given up and are remembered; beyond this number the earliest are forgotten. */
const MAX_GIVEN_UP = 1_024;

/** A call whose server has sent no byte of an answer. */
interface UnansweredCall {
  readonly server: ServerBoot;
  readonly request: string;
  readonly purpose: string;
  readonly sentAtMs: number;
  /** When this daemon gave the call up; undefined while it waits for the answer. */
  readonly givenUpAtMs: number | undefined;
}

/** A call that is tracked until its server answers. */
export interface TrackedCall extends UnansweredCall {
  givenUpAtMs: number | undefined;
}

/** The calls of one daemon that have no answer. */
export class UnansweredCalls {
  readonly #byServer = new Map<string, Set<TrackedCall>>();
  /** In the order in which they were given up. */
  readonly #givenUp = new Set<TrackedCall>();

  /** Records a call that is sent now. */
  add(call: Omit<UnansweredCall, 'givenUpAtMs'>): TrackedCall {
    const tracked = { ...call, givenUpAtMs: undefined };
    const calls = this.#byServer.get(call.server.id) ?? new Set<TrackedCall>();
    calls.add(tracked);
    this.#byServer.set(call.server.id, calls);
    return tracked;
  }

  /** The call was answered, or cannot reach its server any more. */
  remove(call: TrackedCall): void {
    this.#givenUp.delete(call);
    const calls = this.#byServer.get(call.server.id);
    calls?.delete(call);
    if (calls?.size === 0) this.#byServer.delete(call.server.id);
  }

  /** This daemon no longer waits for the answer, but the server may still read the request. */
  giveUp(call: TrackedCall, nowMs: number): void {
    if (this.#byServer.get(call.server.id)?.has(call) !== true) return;
    call.givenUpAtMs = nowMs;
    this.#givenUp.add(call);
    this.#forgetOld(nowMs);
  }

  /** The calls without an answer of one boot of a server; they are forgotten here. */
  takeOf(server: ServerBoot, nowMs: number): readonly UnansweredCall[] {
    this.#forgetOld(nowMs);
    const calls = [...(this.#byServer.get(server.id) ?? [])];
    const ofBoot = calls.filter((call) => isSameBoot(call.server, server));
    for (const call of ofBoot) this.remove(call);
    return ofBoot;
  }

  #forgetOld(nowMs: number): void {
    for (const call of this.#givenUp) {
      const isRecent = nowMs - (call.givenUpAtMs ?? nowMs) < RETENTION_MS;
      if (isRecent && this.#givenUp.size <= MAX_GIVEN_UP) return;
      this.remove(call);
    }
  }
}
