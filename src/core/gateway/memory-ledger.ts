/**
 * Accounts for the memory that requests in flight hold: objects in the heap, and buffers outside of it. A request beyond the
 * limits is rejected before it is read, as V8 ends a process at its heap limit, and the system one that takes more than the
 * machine has.
 */

const BYTES_PER_MEGABYTE = 1_048_576;
/** Heap of a request in flight and of its two connections, without its headers. */
const REQUEST_HEAP_BYTES = 24_576;
/** Headers are kept as they came and by name, and sent on. */
const HEAP_BYTES_PER_HEADER_BYTE = 2;
/** Each header is strings and places in arrays, whatever its length. */
const HEAP_BYTES_PER_HEADER = 256;
/** Near its limit, V8 collects the heap all the time. */
const USABLE_HEAP_SHARE = 0.8;
/** The program, configuration, lists and indexes, and idle connections. */
const OTHER_HEAP_BYTES = 30 * BYTES_PER_MEGABYTE;
/** Memory outside of the heap that no request accounts for: the runtime, sockets, buffers that wait for collection. */
const OTHER_BUFFER_BYTES = 130 * BYTES_PER_MEGABYTE;
/** Left to requests however small the limits are. */
const MIN_REQUESTS_BYTES = 8 * BYTES_PER_MEGABYTE;

/** What requests hold, or may hold at most. */
export interface RequestMemory {
  readonly heapBytes: number;
  readonly bufferBytes: number;
}

/** The headers of a request. */
export interface HeaderSize {
  readonly count: number;
  /** Of names and values, and what separates them on the wire. */
  readonly bytes: number;
}

/** The most that requests may hold in a process with a heap limit on a machine with some memory. */
export function requestMemoryLimits(heapLimitBytes: number, machineBytes: number): RequestMemory {
  const heapBytes = USABLE_HEAP_SHARE * heapLimitBytes - OTHER_HEAP_BYTES;
  const bufferBytes = machineBytes - heapLimitBytes - OTHER_BUFFER_BYTES;
  return {
    heapBytes: Math.max(MIN_REQUESTS_BYTES, heapBytes),
    bufferBytes: Math.max(MIN_REQUESTS_BYTES, bufferBytes),
  };
}

/** The memory of one request; released once, when its answer has ended. */
export interface MemoryReservation {
  /** Adds buffers; false where there is no memory for them, and then nothing is added. */
  grow(bufferBytes: number): boolean;
  /** Gives back some of the buffers. */
  shrink(bufferBytes: number): void;
  release(): void;
}

/** The memory of all requests in flight. */
export class MemoryLedger {
  readonly #limits: RequestMemory;
  #heapBytes = 0;
  #bufferBytes = 0;

  constructor(limits: RequestMemory) {
    this.#limits = limits;
  }

  get reserved(): RequestMemory {
    return { heapBytes: this.#heapBytes, bufferBytes: this.#bufferBytes };
  }

  /** Reserves the memory of a request without its body; undefined where there is none left. */
  reserve(headers: HeaderSize): MemoryReservation | undefined {
    const heapBytes = REQUEST_HEAP_BYTES + heapBytesOf(headers);
    if (this.#heapBytes + heapBytes > this.#limits.heapBytes) return undefined;
    this.#heapBytes += heapBytes;
    return this.#reservationOf(heapBytes);
  }

  #reservationOf(heapBytes: number): MemoryReservation {
    let bufferBytes = 0;
    let isReleased = false;
    return {
      grow: (bytes) => {
        if (isReleased || !this.#tryGrow(bytes)) return false;
        bufferBytes += bytes;
        return true;
      },
      shrink: (bytes) => {
        const givenBack = Math.min(bytes, bufferBytes);
        bufferBytes -= givenBack;
        this.#bufferBytes -= givenBack;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#heapBytes -= heapBytes;
        this.#bufferBytes -= bufferBytes;
        bufferBytes = 0;
      },
    };
  }

  #tryGrow(bytes: number): boolean {
    if (this.#bufferBytes + bytes > this.#limits.bufferBytes) return false;
    this.#bufferBytes += bytes;
    return true;
  }
}

function heapBytesOf({ count, bytes }: HeaderSize): number {
  return HEAP_BYTES_PER_HEADER * count + HEAP_BYTES_PER_HEADER_BYTE * bytes;
}
