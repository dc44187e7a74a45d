/** A server that names a limit of requests a second, what reaches it, and how that compares with the limit. */
import type { TimerService } from '../../../src/shell/gateway/index.js';
import type { Script, ServedRequest } from './server-stand-in.js';

/** How long an answer takes that nothing holds up. */
const USUAL_ANSWER_MS = 10;
/** What operators count in, and what they allow beyond the limit: half of it again, and five. */
const SPAN_MS = 4_000;
const FACTOR = 1.5;
const SLACK = 5;
/** From so long after the first answer that names it, a limit is to be kept. */
export const SETTLE_MS = 3_000;

/** The requests of callers that reached a server, by time, and what it says of its limit. */
export class LimitedServer {
  /** As the field has it; undefined while it names none. */
  limit: string | undefined;
  answerMs = USUAL_ANSWER_MS;
  /** Where it reads a prompt by itself before it generates; as long as any other answer unless given. */
  readsItselfMs: number | undefined;
  readonly arrivalsMs: number[] = [];
  firstNamedMs: number | undefined;
  readonly #timers: TimerService;
  readonly #answer: Script;

  constructor(timers: TimerService, answer: Script, limit?: string) {
    this.#timers = timers;
    this.#answer = answer;
    this.limit = limit;
  }

  /** To be given to a stand-in. */
  get script(): Script {
    return (served) => this.#serve(served);
  }

  /** Requests that came from a time on. */
  since(fromMs: number): number {
    return this.arrivalsMs.filter((atMs) => atMs >= fromMs).length;
  }

  /** The most that came in any span that operators count, ending from a time on. */
  worstSpan(fromMs: number): number {
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
    const answerMs = isHandedOver ? this.answerMs : (this.readsItselfMs ?? this.answerMs);
    this.#timers.after(answerMs, () => this.#answer(served));
  }
}

/** What a limit allows in a span that operators count. */
export function allowedInSpan(perSecond: number): number {
  return FACTOR * perSecond * (SPAN_MS / 1_000) + SLACK;
}
