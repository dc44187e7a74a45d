/** Writes one streamed answer, with back-pressure and with the fault that was armed for it. */
import type { ServerResponse } from 'node:http';
import { type AnswerIdentity, endFrames, tokenFrame, type Usage } from './answers.js';
import type { AnswerFault } from './faults.js';

/** What a stream needs of its engine. */
export interface StreamEngine {
  /** Stops or goes on writing while the reader is slow. */
  readonly setPaused: (paused: boolean) => void;
  /** Dies and comes back after so long. */
  readonly crash: (downMs: number) => void;
  /** Takes a fault back that did not strike. */
  readonly giveBack: (fault: AnswerFault) => void;
}

/** One answer in server-sent events. */
export class StreamWriter {
  readonly #response: ServerResponse;
  readonly #identity: AnswerIdentity;
  readonly #engine: StreamEngine;
  readonly #fault: AnswerFault | null;
  /** Frames held back by a stall, or null. */
  #held: string[] | null = null;
  /** The frame that a fault sends after its successor. */
  #late: string | null = null;
  #sentTokens = 0;
  #paused = false;
  #ended = false;
  #hasStruck = false;

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
    const strikes = this.#fault !== null && this.#sentTokens === afterTokens(this.#fault);
    this.#sentTokens += 1;
    if (strikes && this.#fault !== null) this.#strike(this.#fault, frame, offset);
    else this.#send(frame);
    if (!strikes) this.#sendLate();
  }

  /** Sends the usage and ends the stream. */
  end(usage: Usage): void {
    if (this.#ended) return;
    this.#sendLate();
    this.#ended = true;
    // What is left of a stream that others broke off may be too short for it; whoever armed it waits for it to strike.
    if (this.#fault !== null && !this.#hasStruck) this.#engine.giveBack(this.#fault);
    this.#send(endFrames(this.#identity, usage));
    if (this.#held === null) this.#response.end();
  }

  #strike(fault: AnswerFault, frame: string, offset: number): void {
    this.#hasStruck = true;
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
        throw new Error('a wrong length is a fault of whole answers');
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
    // A run that went on behind it would be over before whoever watches the stall has done what is to be seen.
    this.#engine.setPaused(true);
    const timer = setTimeout(() => this.#release(), forMs);
    this.#response.once('close', () => clearTimeout(timer));
  }

  #release(): void {
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
