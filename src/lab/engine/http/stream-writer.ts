/** Writes one streamed answer, with back-pressure and with the fault armed for it. */
import type { ServerResponse } from 'node:http';
import { type AnswerIdentity, endFrames, tokenFrame, type Usage } from './answers.js';
import type { AnswerFault } from './faults.js';

/** The engine operations that a stream needs. */
export interface StreamEngine {
  /** Pauses or resumes token generation, for back-pressure from a slow reader. */
  readonly setPaused: (paused: boolean) => void;
  /** Crashes the engine, which restarts after `downMs`. */
  readonly crash: (downMs: number) => void;
  /** Rearms a fault that was not injected. */
  readonly rearm: (fault: AnswerFault) => void;
}

/** One answer in server-sent events. */
export class StreamWriter {
  readonly #response: ServerResponse;
  readonly #identity: AnswerIdentity;
  readonly #engine: StreamEngine;
  readonly #fault: AnswerFault | null;
  /** Frames held back by a stall; null if there is no stall. */
  #held: string[] | null = null;
  /** The frame that the `late-frame` fault sends after its successor. */
  #late: string | null = null;
  #sentTokens = 0;
  #paused = false;
  #ended = false;
  #wasInjected = false;

  constructor(
    response: ServerResponse,
    identity: AnswerIdentity,
    engine: StreamEngine,
    fault: AnswerFault | null,
  ) {
    this.#response = response;
    this.#identity = identity;
    this.#engine = engine;
    this.#fault = fault;
  }

  /** Sends the headers. */
  begin(): void {
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-threadfork-attempt': this.#identity.attempt,
    });
    this.#response.flushHeaders();
  }

  /** Sends the frame of one token. */
  token(offset: number, text: string, last: boolean): void {
    if (this.#ended) return;
    const frame = tokenFrame(this.#identity, offset, text, last);
    const isDue = this.#fault !== null && this.#sentTokens === afterTokens(this.#fault);
    this.#sentTokens += 1;
    if (isDue && this.#fault !== null) this.#inject(this.#fault, frame, offset);
    else this.#send(frame);
    if (!isDue) this.#sendLate();
  }

  /** Sends the usage and ends the stream. */
  end(usage: Usage): void {
    if (this.#ended) return;
    this.#sendLate();
    this.#ended = true;
    // A resumed stream may be too short to reach `afterTokens`; the test that armed the fault waits for its injection.
    if (this.#fault !== null && !this.#wasInjected) this.#engine.rearm(this.#fault);
    this.#send(endFrames(this.#identity, usage));
    if (this.#held === null) this.#response.end();
  }

  #inject(fault: AnswerFault, frame: string, offset: number): void {
    this.#wasInjected = true;
    switch (fault.kind) {
      case 'stall':
        this.#stall(fault.forMs, frame);
        return;
      case 'late-frame':
        this.#late = frame;
        return;
      case 'repeated-frame':
        this.#send(frame + frame);
        return;
      case 'foreign-frame':
        this.#send(this.#foreignFrame(offset) + frame);
        return;
      case 'early-close':
        this.#ended = true;
        this.#response.end();
        return;
      case 'crash-in-stream':
        this.#engine.crash(fault.downMs);
        return;
      case 'wrong-length':
        throw new Error('the fault wrong-length applies to non-streamed answers only');
    }
  }

  #foreignFrame(offset: number): string {
    const identity = { ...this.#identity, attempt: `foreign-${this.#identity.attempt}` };
    return tokenFrame(identity, offset, ' FOREIGN', false);
  }

  #sendLate(): void {
    if (this.#late === null) return;
    this.#send(this.#late);
    this.#late = null;
  }

  #stall(forMs: number, frame: string): void {
    this.#held = [frame];
    // Without the pause, generation would finish during the stall, before the test that watches the stall has acted.
    this.#engine.setPaused(true);
    const timer = setTimeout(() => this.#endStall(), forMs);
    this.#response.once('close', () => clearTimeout(timer));
  }

  #endStall(): void {
    const held = this.#held ?? [];
    this.#held = null;
    this.#engine.setPaused(false);
    this.#send(held.join(''));
    if (this.#ended) this.#response.end();
  }

  #send(frames: string): void {
    if (this.#held !== null) {
      this.#held.push(frames);
      return;
    }
    if (this.#response.write(frames) || this.#ended || this.#paused) return;
    this.#paused = true;
    this.#engine.setPaused(true);
    this.#response.once('drain', () => {
      this.#paused = false;
      this.#engine.setPaused(false);
    });
  }
}

function afterTokens(fault: AnswerFault): number {
  return fault.kind === 'wrong-length' ? -1 : fault.afterTokens;
}
