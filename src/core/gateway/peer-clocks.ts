/**
 * Bounds on when messages of other daemons were sent, without clocks that agree. A daemon that answers a question with its
 * clock read that clock after the question was asked, so its clock is ahead of, or behind, the own one by a bounded amount.
 * From then on each message that names the sender's clock is known to have been sent no earlier than a moment on the own
 * clock. A lost, slow or late answer makes the bound earlier, never wrong.
 */
import { setNewest } from '../common/bounded-map.js';

/** The sender's clock as it sent a message. Clocks of two lives of a daemon have nothing in common. */
export interface SendStamp {
  readonly daemon: string;
  readonly incarnation: number;
  /** On a clock that neither steps nor runs ahead in a suspension. */
  readonly clockMs: number;
}

/** Several times the daemons of the largest fleet; anything that sends a datagram can name a daemon. */
const MAX_CLOCKS = 2_048;
/** The rates of two clocks that are being corrected differ by less than this. */
const MAX_DRIFT_SHARE = 1 / 1_000;
/** A question is repeated after this time, as drift makes an answer worth less. */
const REPEAT_MS = 10_000;
/** The same after an answer that took long, or none. */
const RETRY_MS = 400;
/** An answer that took longer than this is improved on by another question. */
const LONG_ROUND_TRIP_MS = 100;

interface KnownClock {
  readonly incarnation: number;
  /** The own clock is ahead of the daemon's by this much at least, as of `asOfMs`. */
  readonly leadMs: number;
  readonly asOfMs: number;
  readonly roundTripMs: number;
}

interface Question {
  readonly incarnation: number;
  readonly askedAtMs: number;
}

/** The clocks of other daemons, by their names. All own times are of one clock, which includes suspensions. */
export class PeerClocks {
  readonly #known = new Map<string, KnownClock>();
  readonly #asked = new Map<string, Question>();

  /** Records an answer: the daemon read its clock after `askedAtMs`. */
  recordAnswer(
    { daemon, incarnation, clockMs }: SendStamp,
    askedAtMs: number,
    nowMs: number,
  ): void {
    const known = this.#known.get(daemon);
    const isSameLife = known?.incarnation === incarnation;
    const knownLeadMs = isSameLife ? leadAt(known, nowMs) : Number.NEGATIVE_INFINITY;
    const leadMs = Math.max(knownLeadMs, askedAtMs - clockMs);
    const clock = { incarnation, leadMs, asOfMs: nowMs, roundTripMs: nowMs - askedAtMs };
    setNewest(this.#known, daemon, clock, MAX_CLOCKS);
  }

  /** The moment, on the own clock, after which a message was sent; minus infinity while the sender's clock is not known. */
  sentAfterMs({ daemon, incarnation, clockMs }: SendStamp, nowMs: number): number {
    const known = this.#known.get(daemon);
    if (known?.incarnation !== incarnation) return Number.NEGATIVE_INFINITY;
    return Math.min(nowMs, clockMs + leadAt(known, nowMs));
  }

  /** Whether the sender of a message is to be asked for its clock now; the caller asks it then. */
  takeQuestion({ daemon, incarnation }: SendStamp, nowMs: number): boolean {
    const asked = this.#asked.get(daemon);
    const isSameLife = asked?.incarnation === incarnation;
    if (isSameLife && nowMs - asked.askedAtMs < this.#intervalMs(daemon, asked)) return false;
    setNewest(this.#asked, daemon, { incarnation, askedAtMs: nowMs }, MAX_CLOCKS);
    return true;
  }

  #intervalMs(daemon: string, asked: Question): number {
    const known = this.#known.get(daemon);
    const isAnswered = known?.incarnation === asked.incarnation && known.asOfMs >= asked.askedAtMs;
    return isAnswered && known.roundTripMs <= LONG_ROUND_TRIP_MS ? REPEAT_MS : RETRY_MS;
  }
}

function leadAt({ leadMs, asOfMs }: KnownClock, nowMs: number): number {
  return leadMs - MAX_DRIFT_SHARE * (nowMs - asOfMs);
}
