/** Reads the bodies of callers' requests, within the memory that there is for requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryLedger, MemoryReservation } from '../../core/gateway/index.js';

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
  #heldBytes = 0;

  constructor(memory: Pick<MemoryLedger, 'reserve'>) {
    this.#memory = memory;
  }

  /** Bytes of all requests whose answers have not ended, those of incomplete bodies included. */
  get heldBytes(): number {
    return this.#heldBytes;
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
    response.once('close', () => memory.release());
    return this.#read(request, response, { declaredBytes, maxBytes, memory });
  }

  #read(
    request: IncomingMessage,
    response: ServerResponse,
    limits: {
      readonly declaredBytes: number;
      readonly maxBytes: number;
      readonly memory: MemoryReservation;
    },
  ): Promise<BodyReading> {
    const { declaredBytes, maxBytes, memory } = limits;
    return new Promise((resolve) => {
      let chunks: Buffer[] = [];
      let length = 0;
      let isEnded = false;
      const end = (reading: BodyReading) => {
        isEnded = true;
        chunks = [];
        resolve(reading);
      };
      response.once('close', () => {
        this.#heldBytes -= length;
        length = 0;
      });
      request.on('data', (chunk: Buffer) => {
        if (isEnded) return;
        if (length + chunk.length > maxBytes) return end({ kind: 'too-large' });
        const undeclaredBytes = Math.max(0, length + chunk.length - declaredBytes);
        const hasMemory = memory.grow(Math.min(chunk.length, undeclaredBytes));
        if (!hasMemory) return end({ kind: 'no-memory' });
        length += chunk.length;
        this.#heldBytes += chunk.length;
        chunks.push(chunk);
      });
      request.once('end', () => end({ kind: 'read', body: joined(chunks), memory }));
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

function joined(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
}
