/** Reads the bodies of callers' requests, within the memory that there is for requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryLedger, MemoryReservation } from '../../core/gateway/index.js';
import { HeldBytes } from '../bytes/index.js';
import { ArrivingBody } from './arriving-body.js';
import type { StalledBodies, WatchedBody } from './stalled-bodies.js';

const HEADER_OVERHEAD_BYTES = 4;

/** A body, and the memory of its request, which is released when the answer ends; or why there is none. */
export type BodyReading =
  | { readonly kind: 'read'; readonly body: Buffer; readonly memory: MemoryReservation }
  | { readonly kind: 'too-large' }
  /** There is no memory for the request now. */
  | { readonly kind: 'no-memory' }
  /** The body stopped for the idle time-out. */
  | { readonly kind: 'timed-out'; readonly heldBytes: number }
  /** The body had stalled, and its memory was needed. */
  | { readonly kind: 'gave-way'; readonly heldBytes: number }
  /** The caller has left. */
  | { readonly kind: 'broken' };

/** Dependencies of a `BodyReader`. */
export interface BodyReaderOptions {
  readonly memory: Pick<MemoryLedger, 'reserve'>;
  readonly stalled: StalledBodies;
}

/** Reads bodies. */
export class BodyReader {
  readonly #options: BodyReaderOptions;
  /** What bodies hold of all requests whose answers have not ended, incomplete ones included. */
  readonly held = new HeldBytes();

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  async read(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
  ): Promise<BodyReading> {
    const { memory: ledger, stalled } = this.#options;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) return { kind: 'too-large' };
    const memory = stalled.makeRoom(() => ledger.reserve(headerBytes(request)));
    if (memory === undefined) return { kind: 'no-memory' };
    const arriving = new ArrivingBody(memory, this.held);
    response.once('close', () => {
      arriving.clear();
      memory.release();
    });
    return this.#read(request, arriving, memory, maxBytes);
  }

  #read(
    request: IncomingMessage,
    arriving: ArrivingBody,
    memory: MemoryReservation,
    maxBytes: number,
  ): Promise<BodyReading> {
    const { stalled } = this.#options;
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
        if (isEnded) return;
        if (arriving.length + chunk.length > maxBytes) return end({ kind: 'too-large' });
        arriving.add(chunk);
        stalled.recordArrival(watched);
        const hasMemory = stalled.makeRoom(() => isEnded || arriving.reserve() || undefined);
        if (hasMemory === undefined) end({ kind: 'no-memory' });
      });
      request.once('end', () => {
        if (!isEnded) end({ kind: 'read', body: arriving.join(), memory });
      });
      request.once('close', () => end({ kind: 'broken' }));
      request.once('error', () => end({ kind: 'broken' }));
    });
  }
}

/** The size of a request's headers on the wire. */
export function headerBytes(request: IncomingMessage): number {
  let bytes = 0;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + (request.rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
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
