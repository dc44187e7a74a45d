/** A server that names a limit of requests a second, the requests that reach it, and the number that the limit allows. */
import type { TimerService } from '../../../src/shell/gateway/index.js';
import type { Script, ServedRequest } from './server-stand-in.js';

/** Answer time without further delay. */
const USUAL_ANSWER_MS = 10;
/** Operators count the requests in any 4 s, and allow one and a half times the limit, and five more. */
const SPAN_MS = 4_000;
const FACTOR = 1.5;
const SLACK = 5;
/** A limit has to be kept from this long after the first answer that names it. */
export const SETTLE_MS = 3_000;

/** Wraps the script of a stand-in: names a limit in its answers, and records when callers' requests arrive. */
export class LimitedServer {
  /** The value of the header; undefined while the server names no limit. */
  limit: string | undefined;
  answerMs = USUAL_ANSWER_MS;
  /** Answer time where the server prefills the prompt itself before it generates; by default `answerMs`. */
  ownPrefillMs: number | undefined;
  readonly arrivalsMs: number[] = [];
  firstNamedMs: number | undefined;
  readonly #timers: TimerService;
  readonly #answer: Script;

  constructor(timers: TimerService, answer: Script, limit?: string) {
    this.#timers = timers;
    this.#answer = answer;
    this.limit = limit;
  }

  /** The script for a stand-in. */
  get script(): Script {
    return (served) => this.#serve(served);
  }

  /** Number of requests that arrived from a time on. */
  countSince(fromMs: number): number {
    return this.arrivalsMs.filter((atMs) => atMs >= fromMs).length;
  }

  /** The most requests that arrived in any 4 s that end at or after `fromMs`. */
  maxInSpan(fromMs: number): number {
    const ends = this.arrivalsMs.filter((atMs) => atMs >= fromMs);
    const counts = ends.map(
      (endMs) => this.arrivalsMs.filter((atMs) => atMs > endMs - SPAN_MS && atMs <= endMs).length,
    );
    return Math.max(0, ...counts);
  }

  #serve(served: ServedRequest): void {
    const { seen, response } = served;
    if (seen.method === 'POST') this.arrivalsMs.push(this.#timers.nowMs());
    if (this.limit !== undefined) {
      this.firstNamedMs ??= this.#timers.nowMs();
      response.setHeader('Server-Limit', this.limit);
    }
    const isHandedOver = seen.headers['x-kv-source'] !== undefined;
    const answerMs = isHandedOver ? this.answerMs : (this.ownPrefillMs ?? this.answerMs);
    this.#timers.after(answerMs, () => this.#answer(served));
  }
}

/** Requests that a limit allows in any 4 s. */
export function allowedInSpan(perSecond: number): number {
  return FACTOR * perSecond * (SPAN_MS / 1_000) + SLACK;
}
