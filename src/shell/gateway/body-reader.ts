/** Reads the bodies of callers' requests, within the memory that there is for requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryLedger, MemoryReservation } from '../../core/gateway/index.js';
import { HeldBytes } from '../bytes/index.js';
import { ArrivingBody } from './arriving-body.js';

const HEADER_OVERHEAD_BYTES = 4;

/** A body, and the memory of its request, which is released when the answer ends; or why there is none. */
export type BodyReading =
  | { readonly kind: 'read'; readonly body: Buffer; readonly memory: MemoryReservation }
  | { readonly kind: 'too-large' }
  /** There is no memory for the request now. */
  | { readonly kind: 'no-memory' }
  /** The caller has left. */
  | { readonly kind: 'broken' };

/** Reads bodies. */
export class BodyReader {
  readonly #memory: Pick<MemoryLedger, 'reserve'>;
  /** What bodies hold of all requests whose answers have not ended, incomplete ones included. */
  readonly held = new HeldBytes();

  constructor(memory: Pick<MemoryLedger, 'reserve'>) {
    this.#memory = memory;
  }

  async read(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
  ): Promise<BodyReading> {
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) return { kind: 'too-large' };
    const memory = this.#memory.reserve(headerBytes(request), declaredBytes);
    if (memory === undefined) return { kind: 'no-memory' };
    const arriving = new ArrivingBody(memory, declaredBytes, this.held);
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
    return new Promise((resolve) => {
      let isEnded = false;
      const end = (reading: BodyReading) => {
        if (isEnded) return;
        isEnded = true;
        if (reading.kind !== 'read') arriving.clear();
        resolve(reading);
      };
      request.on('data', (chunk: Buffer) => {
        if (isEnded) return;
        if (arriving.length + chunk.length > maxBytes) return end({ kind: 'too-large' });
        if (!arriving.add(chunk)) return end({ kind: 'no-memory' });
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
