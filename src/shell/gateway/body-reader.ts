/** Reads the bodies of callers' requests and counts the bytes that are held for them. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** A body; or why there is none: it is larger than allowed, or its caller has left. */
export type BodyReading = Buffer | 'too-large' | 'broken';

/** Reads bodies. */
export class BodyReader {
  #heldBytes = 0;

  /** Bytes of all requests whose answers have not ended, those of incomplete bodies included. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  read(request: IncomingMessage, response: ServerResponse, maxBytes: number): Promise<BodyReading> {
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) return Promise.resolve('too-large');
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let length = 0;
      let heldBytes = 0;
      response.once('close', () => {
        this.#heldBytes -= heldBytes;
        heldBytes = 0;
      });
      request.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxBytes) return resolve('too-large');
        this.#heldBytes += chunk.length;
        heldBytes += chunk.length;
        chunks.push(chunk);
      });
      request.once('end', () => resolve(Buffer.concat(chunks)));
      request.once('close', () => resolve('broken'));
      request.once('error', () => resolve('broken'));
    });
  }
}
