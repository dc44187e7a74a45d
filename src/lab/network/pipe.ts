/** One direction of a relayed connection: delivers bytes in order, with delay, or holds them. */
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../core/common/time.js';

/** Held bytes at which a pipe stops reading from its source. */
const MAX_HELD_BYTES = 1024 * 1024;

/** The conditions of one direction of a link; mutated in place while connections are open. */
export interface DirectionConditions {
  /** Holds all bytes: the effect of a network that drops packets until TCP's retransmissions pass. */
  isCut: boolean;
  /** Delay added to each chunk. */
  delayMs: Milliseconds;
  /** Decides for each chunk whether the connection breaks instead of forwarding it. */
  breaks: () => boolean;
}

interface HeldChunk {
  /** Null for the end of the source's stream. */
  readonly chunk: Buffer | null;
  readonly dueAt: Milliseconds;
}

/** Forwards bytes from one socket to another. */
export class Pipe {
  private held: HeldChunk[] = [];
  private heldBytes = 0;
  private timer: NodeJS.Timeout | null = null;
  private isWaitingForDrain = false;

  constructor(
    private readonly source: Socket,
    private readonly destination: Socket,
    private readonly conditions: DirectionConditions,
    private readonly onBreak: () => void,
  ) {
    source.on('data', (chunk) => this.onChunk(chunk));
    source.on('end', () => this.onChunk(null));
    destination.on('drain', () => {
      this.isWaitingForDrain = false;
      this.pump();
    });
  }

  /** Forwards the chunks that are due; also called when conditions change. */
  pump(): void {
    this.clearTimer();
    while (!this.conditions.isCut && !this.isWaitingForDrain && !this.destination.destroyed) {
      const first = this.held[0];
      if (first === undefined) break;
      const waitMs = first.dueAt - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.pump(), waitMs);
        break;
      }
      this.held.shift();
      this.deliver(first.chunk);
    }
    if (this.heldBytes < MAX_HELD_BYTES) this.source.resume();
  }

  /** Drops held bytes after the connection has ended. */
  end(): void {
    this.clearTimer();
    this.held = [];
  }

  private onChunk(chunk: Buffer | null): void {
    if (chunk !== null && this.conditions.breaks()) {
      this.onBreak();
      return;
    }
    this.heldBytes += chunk?.length ?? 0;
    this.held.push({ chunk, dueAt: performance.now() + this.conditions.delayMs });
    if (this.heldBytes >= MAX_HELD_BYTES) this.source.pause();
    this.pump();
  }

  private deliver(chunk: Buffer | null): void {
    if (chunk === null) {
      this.destination.end();
      return;
    }
    this.heldBytes -= chunk.length;
    if (!this.destination.write(chunk)) this.isWaitingForDrain = true;
  }

  private clearTimer(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.timer = null;
  }
}
