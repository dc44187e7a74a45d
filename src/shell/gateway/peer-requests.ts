/** Requests to other daemons by datagram, each repeated until its answer arrives or a time-out is over. */
import type { PeerDaemon } from '../../core/gateway/index.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Spans of a request. */
export interface PeerRequestTiming {
  /** A datagram may be lost, so the request is sent again after each of these spans without an answer. */
  readonly resendAfterMs: number;
  readonly timeoutMs: number;
}

/** Dependencies of `PeerRequests`. */
export interface PeerRequestsOptions<Message> {
  readonly send: (peers: readonly PeerDaemon[], message: Message) => void;
  readonly timers: TimerService;
  readonly timing: PeerRequestTiming;
}

interface PendingRequest<Answer> {
  readonly finish: (answer: Answer | undefined) => void;
}

/** The open requests of one daemon. */
export class PeerRequests<Message, Answer> {
  readonly #options: PeerRequestsOptions<Message>;
  readonly #pending = new Map<number, PendingRequest<Answer>>();
  #lastNumber = 0;

  constructor(options: PeerRequestsOptions<Message>) {
    this.#options = options;
  }

  /**
   * Sends a request; resolves to its answer, or to undefined after the time-out.
   * @param messageOf the message for the number of the request, which the answer repeats
   */
  request(peer: PeerDaemon, messageOf: (number: number) => Message): Promise<Answer | undefined> {
    const { send, timers, timing } = this.#options;
    this.#lastNumber += 1;
    const number = this.#lastNumber;
    const message = messageOf(number);
    return new Promise((resolve) => {
      const startedMs = timers.nowMs();
      let cancel: CancelTimer = () => undefined;
      const finish = (answer: Answer | undefined) => {
        cancel();
        this.#pending.delete(number);
        resolve(answer);
      };
      const sendAgain = () => {
        const leftMs = timing.timeoutMs - (timers.nowMs() - startedMs);
        if (leftMs <= 0) return finish(undefined);
        send([peer], message);
        cancel = timers.after(Math.min(timing.resendAfterMs, leftMs), sendAgain);
      };
      this.#pending.set(number, { finish });
      sendAgain();
    });
  }

  /** Takes an answer; one to a request that is not open is ignored. */
  handleAnswer(number: number, answer: Answer): void {
    this.#pending.get(number)?.finish(answer);
  }

  /** Ends all open requests without an answer. */
  stop(): void {
    for (const { finish } of [...this.#pending.values()]) finish(undefined);
  }
}
