/** Reads the bodies of callers' requests, within the memory that there is for requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryReservation } from '../../core/gateway/index.js';
import { HeldBytes } from '../bytes/index.js';
import { ArrivingBody } from './arriving-body.js';
import type { StalledBodies, WatchedBody } from './stalled-bodies.js';

/** A body, or why there is none. */
export type BodyReading =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** There is no memory for the request now. */
  | { readonly kind: 'no-memory' }
  /** The body stopped for the idle time-out. */
  | { readonly kind: 'timed-out'; readonly heldBytes: number }
  /** The body had stalled, and its memory was needed. */
  | { readonly kind: 'evicted'; readonly heldBytes: number }
  /** The caller has left. */
  | { readonly kind: 'broken' };

/** A request whose body is read, and the memory that is reserved for it. */
export interface BodyRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly memory: MemoryReservation;
  /** Called with the length of each piece of the body as it arrives. */
  readonly onPiece: (bytes: number) => void;
}

/** Reads bodies. */
export class BodyReader {
  readonly #stalled: StalledBodies;
  /** What bodies hold of all requests whose answers have not ended, incomplete ones included. */
  readonly held = new HeldBytes();

  constructor(stalled: StalledBodies) {
    this.#stalled = stalled;
  }

  async read(incoming: BodyRequest, maxBytes: number): Promise<BodyReading> {
    const { request, response, memory } = incoming;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) return { kind: 'too-large' };
    const arriving = new ArrivingBody(memory, this.held);
    response.once('close', () => arriving.clear());
    return this.#read(incoming, arriving, maxBytes);
  }

  #read(
    { request, memory, onPiece }: BodyRequest,
    arriving: ArrivingBody,
    maxBytes: number,
  ): Promise<BodyReading> {
    const stalled = this.#stalled;
    return new Promise((resolve) => {
      let isEnded = false;
      const end = (reading: BodyReading) => {
        if (isEnded) return;
        isEnded = true;
        stalled.remove(watched);
        if (reading.kind !== 'read') arriving.clear();
        resolve(reading);
      };
      const watched: WatchedBody = {
        get length() {
          return arriving.length;
        },
        get isHeldBack() {
          return request.socket.isPaused();
        },
        end: (kind) => {
          end({ kind, heldBytes: arriving.heldBytes });
          memory.release();
        },
      };
      stalled.add(watched);
      request.on('data', (chunk: Buffer) => {
        onPiece(chunk.length);
        if (isEnded) return;
        if (arriving.length + chunk.length > maxBytes) return end({ kind: 'too-large' });
        arriving.add(chunk);
        stalled.recordArrival(watched);
        if (arriving.reserve()) return;
        const hasMemory = stalled.makeRoom(() => isEnded || arriving.reserve() || undefined);
        if (hasMemory === undefined) end({ kind: 'no-memory' });
      });
      request.once('end', () => {
        // No server gets them.
        request.rawTrailers.length = 0;
        if (!isEnded) end({ kind: 'read', body: arriving.join() });
      });
      request.once('close', () => end({ kind: 'broken' }));
      request.once('error', () => end({ kind: 'broken' }));
    });
  }
}

/** Reads the rest of a body and keeps none of it. */
export function discardBody(request: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    if (request.complete) return resolve();
    request.once('end', () => resolve());
    request.once('close', () => resolve());
    request.resume();
  });
}
