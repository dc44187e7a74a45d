/**
 * Dates the messages of other daemons. What a message tells was so as it was sent, and the way to here may take any time: each
 * message that is relied on for a while names the clock of its sender, and this daemon asks senders for their clocks.
 */
import { PeerClocks, type SendStamp, TRANSIT_MS } from '../../core/gateway/index.js';
import type { ClockAnswer, ClockMessage } from './clock-message-fields.js';
import type { DatagramDelays } from './datagram-delays.js';
import type { TimerService } from './timer-service.js';

/** Dependencies of a `ClockExchange`. */
export interface ClockExchangeOptions {
  readonly daemon: string;
  readonly incarnation: number;
  /** The clock that other daemons are told: it neither steps nor runs ahead in a suspension. */
  readonly timers: Pick<TimerService, 'nowMs'>;
  /** The clock by which messages are dated: it includes suspensions. */
  readonly datingTimers: Pick<TimerService, 'nowMs'>;
  readonly delays: Pick<DatagramDelays, 'record'>;
}

/** The clocks of this daemon and of those that it receives messages from. */
export class ClockExchange {
  readonly #options: ClockExchangeOptions;
  readonly #clocks = new PeerClocks();

  constructor(options: ClockExchangeOptions) {
    this.#options = options;
  }

  /** This daemon's clock, for a message that is sent now. */
  stamp(): SendStamp {
    const { daemon, incarnation, timers } = this.#options;
    return { daemon, incarnation, clockMs: timers.nowMs() };
  }

  /**
   * The moment after which a received message was sent; minus infinity while its sender's clock is not known.
   * @param kind of the message, for the metrics
   * @param ask sends a message to its sender
   */
  sentAfterMs(
    kind: string,
    stamp: SendStamp | undefined,
    ask: (message: ClockMessage) => void,
  ): number {
    const { incarnation, datingTimers, delays } = this.#options;
    const nowMs = datingTimers.nowMs();
    // A daemon of an earlier release names no clock.
    if (stamp === undefined) return nowMs - TRANSIT_MS;
    if (this.#clocks.takeQuestion(stamp, nowMs))
      ask({ kind: 'clock-asked', incarnation, askedAtMs: nowMs });
    const sentAfterMs = this.#clocks.sentAfterMs(stamp, nowMs);
    if (Number.isFinite(sentAfterMs)) delays.record(stamp.daemon, kind, nowMs - sentAfterMs);
    return sentAfterMs;
  }

  /** Answers a question, or records an answer. */
  handleMessage(message: ClockMessage, reply: (answer: ClockMessage) => void): void {
    switch (message.kind) {
      case 'clock-asked': {
        const { incarnation, askedAtMs } = message;
        reply({ kind: 'clock-answered', incarnation, askedAtMs, stamp: this.stamp() });
        return;
      }
      case 'clock-answered':
        this.#recordAnswer(message);
        return;
    }
  }

  #recordAnswer({ incarnation, askedAtMs, stamp }: ClockAnswer): void {
    const nowMs = this.#options.datingTimers.nowMs();
    const isOfThisLife = incarnation === this.#options.incarnation && askedAtMs <= nowMs;
    if (isOfThisLife) this.#clocks.recordAnswer(stamp, askedAtMs, nowMs);
  }
}
