/** The answer of a backend: its head, and its body as a stream that is collected, passed on or dropped. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { MemoryLedger } from '../../core/gateway/index.js';
import { type AnswerFraming, answerFraming } from '../http/answer-framing.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import { ArrivingBody, type BodyMemory } from './arriving-body.js';
import { BodyFlow, type BodyReceiver, type FlowContext } from './body-flow.js';
import type { RawHeaders } from './ports.js';
import type { TimerService } from './timer-service.js';

/** More than the texts of rejections and health pages; opening a connection costs less than reading on. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MS = 1_000;

/** What the answers of one process share. */
export interface AnswerContext extends FlowContext {
  /** The memory for answers to calls of this daemon's own. */
  readonly memory: Pick<MemoryLedger, 'open'>;
}

/** The head of an answer, and its body as a stream. */
export class BackendAnswer {
  readonly message: IncomingMessage;
  readonly #request: ClientRequest;
  #lacksMemory = false;
  readonly #timers: TimerService;
  readonly #context: AnswerContext;
  #isBroken = false;

  constructor(
    request: ClientRequest,
    message: IncomingMessage,
    timers: TimerService,
    context: AnswerContext,
  ) {
    this.#request = request;
    this.#timers = timers;
    this.#context = context;
    this.message = message;
    // node:http reports an answer without a length as complete when its connection is reset.
    request.on('error', () => {
      this.#isBroken = true;
    });
    message.on('error', () => {
      this.#isBroken = true;
    });
    message.once('end', () => {
      if (!request.writableFinished) request.destroy();
    });
    if (this.isCloseDelimited) this.#watchForReset(message.socket);
  }

  /**
   * A reset that arrives together with the last bytes is reported as an ordinary end of the connection. It has no peer any
   * more, while one that was ended still has.
   */
  #watchForReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) this.#isBroken = true;
    });
  }

  get status(): number {
    return this.message.statusCode ?? 0;
  }

  /** Whether the connection had carried an earlier request. */
  get isReusedConnection(): boolean {
    return this.#request.reusedSocket;
  }

  /** After the end of the body: whether it arrived completely. */
  get isComplete(): boolean {
    return this.message.complete && !this.#isBroken;
  }

  /**
   * Whether only the close of the connection marks the end of the body (RFC 9112 section 6.3, rule 8). One that was
   * truncated cannot be told from a complete one, unless the connection was reset.
   */
  get isCloseDelimited(): boolean {
    return this.framing === 'close';
  }

  get framing(): AnswerFraming {
    return answerFraming(this.#request.method, this.status, this.message.headers);
  }

  /** The headers that go on to the caller; those that frame a body are set anew, but the length of one that is left out. */
  get forwardedHeaders(): RawHeaders {
    const { rawHeaders, headers } = this.message;
    const forwarded = withoutConnectionHeaders(rawHeaders);
    const length = headers['content-length'];
    if (this.framing !== 'head' || length === undefined) return forwarded;
    return [...forwarded, 'Content-Length', length];
  }

  /** Closes the connection; the server sees the request as aborted. */
  destroy(): void {
    this.#request.destroy();
  }

  /**
   * Drops a body that is not needed. It is read to its end, so that the connection can be reused, unless it is long or
   * late: then the connection is closed.
   */
  discard(): void {
    let length = 0;
    const cancel = this.#timers.after(MAX_DISCARD_MS, () => this.destroy());
    this.flow({
      receive: (bytes) => {
        length += bytes.length;
        if (length > MAX_DISCARDED_BYTES) this.destroy();
      },
      end: () => undefined,
      close: cancel,
    });
  }

  /** Passes the body on while it arrives. */
  flow(receiver: BodyReceiver): BodyFlow {
    return new BodyFlow(this.message, receiver, this.#context);
  }

  /** Whether the body was not collected because this daemon had no memory for it. */
  get lacksMemory(): boolean {
    return this.#lacksMemory;
  }

  /**
   * The complete body, or undefined when it broke off, is too large or there is no memory for it.
   * @param requestMemory of the request that the body is held for; undefined for a call of this daemon's own
   */
  collect(maxBytes: number, requestMemory?: BodyMemory): Promise<Buffer | undefined> {
    return new Promise((resolve) => {
      const callMemory = this.#context.memory.open();
      const body = new ArrivingBody(requestMemory ?? callMemory, this.#context.held);
      this.flow({
        receive: (bytes) => {
          if (this.message.destroyed) return;
          body.add(bytes);
          this.#lacksMemory = !body.reserve();
          if (body.length <= maxBytes && !this.#lacksMemory) return;
          body.clear();
          this.destroy();
        },
        end: () => resolve(this.isComplete ? body.handOver() : undefined),
        close: () => {
          body.clear();
          callMemory.release();
          resolve(undefined);
        },
      });
    });
  }
}
