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
/** Of the heap for requests, for those that their callers sent before the answer to an earlier one on the connection. */
const PIPELINED_SHARE = 1 / 4;
/** Of the same, for heads of requests that are not complete. */
const UNFINISHED_HEADS_SHARE = 1 / 4;
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

/** Heap of a request in flight, without its body. */
export function requestHeapBytes({ count, bytes }: HeaderSize): number {
  return REQUEST_HEAP_BYTES + HEAP_BYTES_PER_HEADER * count + HEAP_BYTES_PER_HEADER_BYTE * bytes;
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
  #pipelinedBytes = 0;
  #unfinishedHeadBytes = 0;
  #bufferBytes = 0;

  constructor(limits: RequestMemory) {
    this.#limits = limits;
  }

  get reserved(): RequestMemory {
    return { heapBytes: this.#heapBytes, bufferBytes: this.#bufferBytes };
  }

  /**
   * Reserves the memory of a request without its body; undefined where there is none left.
   * @param isPipelined whether its connection owes the answer to an earlier request
   */
  reserve(headers: HeaderSize, isPipelined = false): MemoryReservation | undefined {
    const heapBytes = requestHeapBytes(headers);
    const pipelinedBytes = isPipelined ? heapBytes : 0;
    const { heapBytes: limitBytes } = this.#limits;
    if (this.#heapBytes + heapBytes > limitBytes) return undefined;
    if (this.#pipelinedBytes + pipelinedBytes > PIPELINED_SHARE * limitBytes) return undefined;
    this.#heapBytes += heapBytes;
    this.#pipelinedBytes += pipelinedBytes;
    return this.#reservationOf(heapBytes, pipelinedBytes);
  }

  /** The memory of a message that no request is held for; nothing is reserved yet. */
  open(): MemoryReservation {
    return this.#reservationOf(0, 0);
  }

  /** Heap of heads that are not complete. */
  get unfinishedHeadBytes(): number {
    return this.#unfinishedHeadBytes;
  }

  /** Adds heap of heads that are not complete; false where there is none for them, and then nothing is added. */
  growHeads(bytes: number): boolean {
    const { heapBytes: limitBytes } = this.#limits;
    if (this.#heapBytes + bytes > limitBytes) return false;
    if (this.#unfinishedHeadBytes + bytes > UNFINISHED_HEADS_SHARE * limitBytes) return false;
    this.#heapBytes += bytes;
    this.#unfinishedHeadBytes += bytes;
    return true;
  }

  /** Gives back heap of heads that are complete, or whose connections are closed. */
  shrinkHeads(bytes: number): void {
    this.#heapBytes -= bytes;
    this.#unfinishedHeadBytes -= bytes;
  }

  #reservationOf(heapBytes: number, pipelinedBytes: number): MemoryReservation {
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
        this.#pipelinedBytes -= pipelinedBytes;
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
