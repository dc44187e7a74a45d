/**
 * Accounts for the heap that callers' requests take from their heads to the end of their answers: their bytes are few, but
 * each header and each request is several objects, and V8 ends a process at its heap limit, whatever memory the machine has.
 */
import type { IncomingMessage } from 'node:http';

const BYTES_PER_MEGABYTE = 1_048_576;
/** A request with its answer and its attempt, without headers. */
const REQUEST_HEAP_BYTES = 16_384;
/** The objects of a header: its name and value, in the list of headers as they came and by name. */
const HEADER_HEAP_BYTES = 128;
/** Headers are kept as they came, and sent on. */
const HEAP_BYTES_PER_CHARACTER = 2;
/** A connection and its parser. */
const CONNECTION_HEAP_BYTES = 6_144;
/** Headers of a head that is incomplete are objects of the parser already. */
const HEAP_BYTES_PER_UNREAD_BYTE = 4;
/** Near its limit, V8 collects the heap all the time. */
const USABLE_HEAP_SHARE = 0.8;
/** The program, the configuration, the fleet's state, and idle connections. */
const OTHER_HEAP_BYTES = 30 * BYTES_PER_MEGABYTE;
/** Left to requests however small the heap is. */
const MIN_REQUESTS_BYTES = 4 * BYTES_PER_MEGABYTE;
/** The other half is for heads that are being read. */
const REQUESTS_SHARE = 0.5;
/** Left to the pages of the daemon itself, so that checks of its health are answered when callers hold all the rest. */
const PAGES_BYTES = BYTES_PER_MEGABYTE;

/** The most that requests may take in a process with this heap limit. */
export function requestHeapLimit(heapLimitBytes: number): number {
  const usableBytes = USABLE_HEAP_SHARE * heapLimitBytes - OTHER_HEAP_BYTES;
  return Math.max(MIN_REQUESTS_BYTES, REQUESTS_SHARE * usableBytes);
}

/** The most connections whose heads may all be incomplete in a process with this heap limit. */
export function connectionLimit(heapLimitBytes: number, maxHeaderBytes: number): number {
  const connectionBytes = CONNECTION_HEAP_BYTES + maxHeaderBytes * HEAP_BYTES_PER_UNREAD_BYTE;
  return Math.floor(requestHeapLimit(heapLimitBytes) / connectionBytes);
}

/** An estimate of the heap that a request takes. */
export function requestHeapBytes(request: Pick<IncomingMessage, 'rawHeaders'>): number {
  const { rawHeaders } = request;
  const characters = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const headers = rawHeaders.length / 2;
  return REQUEST_HEAP_BYTES + headers * HEADER_HEAP_BYTES + characters * HEAP_BYTES_PER_CHARACTER;
}

/** The heap that the requests of one server take. */
export class RequestMemory {
  readonly #limitBytes: number;
  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Reserves heap; false when there is none left. Requests for the daemon's own pages have a part of their own. */
  tryReserve(bytes: number, isForPage: boolean): boolean {
    const limitBytes = this.#limitBytes + (isForPage ? PAGES_BYTES : 0);
    if (this.#heldBytes + bytes > limitBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Releases reserved heap. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
