/**
 * Relays a stream to its caller as it arrives, from one server after another where the stream may be resumed. The
 * response headers are sent with the first bytes of the body, so that a server that fails before can still be replaced.
 */
import { type StreamServer, softwareVersionOf } from '../../core/gateway/index.js';
import type { AnswerOutcome } from './answer-outcome.js';
import type { BackendAnswer } from './backend-answer.js';
import { EventBoundary } from './event-boundary.js';
import { EventSplitter } from './event-splitter.js';
import type { Exchange } from './exchange.js';

/** A longer event is not waited for: it is held back in memory until it is complete. */
const MAX_EVENT_BYTES = 1_048_576;
const EVENT_STREAM = 'text/event-stream';

/** How one server's part of a stream ended. */
export type RelayResult = 'complete' | 'broken' | 'interrupted';

/** An answer whose body is relayed. */
export interface RelaySource {
  readonly answer: BackendAnswer;
  readonly server: StreamServer;
  /** Whether only a close of the connection marked its end; by default as at `answer`. */
  readonly isCloseDelimited?: boolean;
  /**
   * Asked where only a close of the connection marked the end: whether the server may have crashed, as that closes
   * connections in the same way.
   */
  readonly mayHaveCrashed?: () => Promise<boolean>;
  /** Called when the body has ended, with its outcome. */
  readonly end: (outcome: AnswerOutcome) => void;
}

/** Called before the first bytes of a stream go to the caller; they wait for the promise, if there is one. */
export type FirstEventHandler = (source: RelaySource) => Promise<void> | undefined;

/** Relays the stream of one exchange. */
export class StreamRelay {
  readonly #exchange: Exchange;
  readonly #isResumable: boolean;
  readonly #splitter = new EventSplitter();
  readonly #way: () => string;
  readonly #onFirstEvent: FirstEventHandler;
  readonly #onServerBegan: () => void;
  #bytesSent = 0;
  /** Bytes of an incomplete event that the memory of the request accounts for. */
  #heldBytes = 0;

  /** @param onServerBegan called when the first complete event of a server's part has arrived */
  constructor(
    exchange: Exchange,
    way: () => string,
    onFirstEvent: FirstEventHandler = () => undefined,
    onServerBegan: () => void = () => undefined,
  ) {
    this.#exchange = exchange;
    this.#way = way;
    this.#onFirstEvent = onFirstEvent;
    this.#onServerBegan = onServerBegan;
    this.#isResumable = exchange.options.route.resumable;
  }

  /** Whether a part of the stream was sent to the caller. */
  get hasBegun(): boolean {
    return this.#bytesSent > 0;
  }

  /** The id of the last event that was sent to the caller completely. */
  get lastEventId(): string | undefined {
    return this.#splitter.lastEventId;
  }

  /** Relays one server's part of the stream until it ends. */
  relay(source: RelaySource): Promise<RelayResult> {
    const { answer } = source;
    const { response } = this.#exchange.options;
    this.#splitter.discardPartialEvent();
    const boundary = new EventBoundary();
    return new Promise((resolve, reject) => {
      let isSettled = false;
      /** Whether the answer has ended and its server is checked. */
      let isChecking = false;
      /** Set while the first bytes wait; the end of an answer that has arrived completely does not wait by itself. */
      let firstEvent: Promise<void> | undefined;
      const afterFirstEvent = (callback: () => void) => {
        if (firstEvent === undefined) callback();
        else firstEvent.then(callback, fail);
      };
      const end = (outcome: AnswerOutcome) => {
        isSettled = true;
        this.#exchange.signal.removeEventListener('abort', interrupt);
        response.removeListener('drain', resumeSource);
        source.end(outcome);
      };
      const settle = (result: RelayResult) => {
        end(outcomeOf(result));
        resolve(result);
      };
      const fail = (exception: unknown) => {
        end({ kind: 'bad', reason: 'the relay failed' });
        answer.destroy();
        reject(exception);
      };
      const checkForCrash = () => {
        isChecking = true;
        const check = source.mayHaveCrashed?.() ?? Promise.resolve(false);
        check.then((mayHaveCrashed) => {
          if (!isSettled) settle(mayHaveCrashed ? 'broken' : 'complete');
        }, fail);
      };
      const resumeSource = () => flow.resume();
      const interrupt = () => {
        settle('interrupted');
        answer.destroy();
      };
      const forward = (bytes: Buffer) => {
        if (!isSettled && !this.#write(source, bytes)) flow.pause();
      };
      if (this.#exchange.signal.aborted) return interrupt();
      this.#exchange.signal.addEventListener('abort', interrupt, { once: true });
      const receive = (received: Buffer) => {
        this.#follow(boundary, received);
        const bytes = this.#isResumable ? this.#splitter.push(received) : received;
        if (!this.#mayHold(this.#splitter)) {
          settle('broken');
          answer.destroy();
          return;
        }
        if (bytes.length === 0) return;
        const isReady = this.hasBegun ? undefined : this.#onFirstEvent(source);
        if (isReady === undefined) return forward(bytes);
        flow.pause();
        firstEvent = isReady.then(() => {
          firstEvent = undefined;
          flow.resume();
          forward(bytes);
        });
        firstEvent.catch(fail);
      };
      const flow = answer.flow({
        // An exception in a listener would end the process instead of this stream.
        receive: (bytes) => {
          if (isSettled) return;
          try {
            receive(bytes);
          } catch (exception) {
            fail(exception);
          }
        },
        end: () => {
          const isWhole = answer.isComplete && !this.#isCutShort(source, boundary);
          afterFirstEvent(() => {
            if (isWhole && isDelimitedByClose(source)) checkForCrash();
            else settle(isWhole ? 'complete' : 'broken');
          });
        },
        // An event whose origin is recorded goes to the caller also where its server has broken off meanwhile.
        close: () =>
          afterFirstEvent(() => {
            if (!isChecking) settle('broken');
          }),
      });
      response.on('drain', resumeSource);
    });
  }

  /** Ends the caller's answer as complete. */
  complete(source: RelaySource): void {
    const remainder = this.#splitter.takeRemainder();
    if (remainder.length > 0 || !this.hasBegun) this.#write(source, remainder);
    this.#exchange.options.response.end();
    this.#exchange.finish('answered', {
      status: source.answer.status,
      server: source.server.id,
      bytes: this.#bytesSent,
    });
  }

  /**
   * Whether a stream of events whose end only the close of its connection marks has ended inside an event or before its
   * first one. A part that takes the stream up may have no events: the one before may have broken after the last.
   */
  #isCutShort(source: RelaySource, { isInsideEvent, hasCompleteEvent }: EventBoundary): boolean {
    const type = source.answer.message.headers['content-type'] ?? EVENT_STREAM;
    if (!isDelimitedByClose(source) || !type.startsWith(EVENT_STREAM)) return false;
    return isInsideEvent || (!hasCompleteEvent && !this.#takesUp);
  }

  /** Whether events of the stream have been sent before, by this daemon or in an earlier attempt of the caller. */
  get #takesUp(): boolean {
    return this.hasBegun || this.#exchange.options.description.resumption !== undefined;
  }

  /** Accounts for the bytes of an event that is not complete; false where there are too many. */
  #mayHold({ heldBytes, partialBytes }: EventSplitter): boolean {
    const { memory } = this.#exchange.options;
    const addedBytes = heldBytes - this.#heldBytes;
    if (addedBytes < 0) memory.shrink(-addedBytes);
    else if (partialBytes > MAX_EVENT_BYTES || !memory.grow(addedBytes)) return false;
    this.#heldBytes = heldBytes;
    return true;
  }

  #follow(boundary: EventBoundary, chunk: Buffer): void {
    const hadBegun = boundary.hasCompleteEvent;
    boundary.push(chunk);
    if (boundary.hasCompleteEvent && !hadBegun) this.#onServerBegan();
  }

  #write(source: RelaySource, bytes: Buffer): boolean {
    const { response, metrics } = this.#exchange.options;
    if (!this.#exchange.isAnswered) {
      const { status, forwardedHeaders } = source.answer;
      const isCloseDelimited = isDelimitedByClose(source);
      if (!this.#exchange.beginStream(status, forwardedHeaders, isCloseDelimited)) return true;
      this.#exchange.stepTimesMs.firstEventMs = this.#exchange.elapsedMs();
      metrics.recordFirstEvent(this.#way(), this.#exchange.elapsedMs());
    }
    if (bytes.length === 0) return true;
    this.#exchange.recordEventsFrom(softwareVersionOf(source.server));
    this.#bytesSent += bytes.length;
    this.#exchange.progress.recordBytesSent(bytes.length);
    return response.write(bytes);
  }
}

function isDelimitedByClose({ answer, isCloseDelimited }: RelaySource): boolean {
  return isCloseDelimited ?? answer.isCloseDelimited;
}

function outcomeOf(result: RelayResult): AnswerOutcome {
  switch (result) {
    case 'complete':
      return { kind: 'good' };
    case 'broken':
      return { kind: 'bad', reason: 'the stream broke off' };
    case 'interrupted':
      return { kind: 'bad', reason: 'interrupted' };
  }
}
