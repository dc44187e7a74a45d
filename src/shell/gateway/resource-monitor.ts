/**
 * Watches what this process uses: its heap against V8's limit, at which the process ends although the machine may have
 * room, its memory outside of the heap, and how late the event loop is. Readings of the heap are cheap, as they make no
 * system call; the other ones are taken only when the metrics are scraped.
 */
import { getHeapStatistics } from 'node:v8';
import { RESOURCE_EVENTS } from '../../core/logging/catalogue/resources.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

const TICK_MS = 100;
/** Above this share of V8's limit, collections take ever more time and a burst may end the process. */
const WARNED_HEAP_SHARE = 0.8;
const WARNING_INTERVAL_MS = 10_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** What the memory of a gateway is used for, as counts and bytes. */
export interface MemoryHolders {
  readonly requestsInFlight: number;
  /** Of the requests that have not ended. */
  readonly bodyBytes: number;
  /** Of answers of servers that are not complete. */
  readonly answerBytes: number;
  readonly answerObjects: number;
  readonly streamRecords: number;
  readonly cachedParts: number;
}

/** The heap of the process. */
export interface HeapReading {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

/** Dependencies of a `ResourceMonitor`. */
export interface ResourceMonitorOptions {
  readonly readHeap: () => HeapReading;
  readonly holders: () => MemoryHolders;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The resources of one process. */
export class ResourceMonitor {
  readonly #options: ResourceMonitorOptions;
  #nextTickMs = 0;
  #cancelTick: CancelTimer | undefined;
  #worstLateMs = 0;
  #mostHeapBytes = 0;
  #warnedAtMs = Number.NEGATIVE_INFINITY;
  #rejectedRequests = 0;
  #droppedConnections = 0;
  #shortagesLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ResourceMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    const { timers } = this.#options;
    this.#nextTickMs = timers.nowMs() + TICK_MS;
    this.#cancelTick = timers.after(TICK_MS, () => {
      this.#check();
      this.start();
    });
  }

  stop(): void {
    this.#cancelTick?.();
  }

  /** Records a request that was rejected as there was no memory or no descriptor for it. */
  recordRejected(): void {
    this.#rejectedRequests += 1;
  }

  /** Records a caller's connection that was closed at once, as there were too many. */
  recordDropped(): void {
    this.#droppedConnections += 1;
  }

  /** How late the event loop was at most since the last call: a task that takes longer than this held it up. */
  takeWorstLateMs(): number {
    const worstMs = this.#worstLateMs;
    this.#worstLateMs = 0;
    return worstMs;
  }

  /** The memory of the process by kind, in bytes. */
  memoryBytes(): ReadonlyMap<string, number> {
    const { rss, heapTotal, external, arrayBuffers } = process.memoryUsage();
    const { usedBytes, limitBytes } = this.#options.readHeap();
    return new Map([
      ['heap-used', usedBytes],
      ['heap-used-most', Math.max(usedBytes, this.#mostHeapBytes)],
      ['heap-total', heapTotal],
      ['heap-limit', limitBytes],
      ['external', external],
      ['array-buffers', arrayBuffers],
      ['resident', rss],
    ]);
  }

  #check(): void {
    const { timers, readHeap } = this.#options;
    const nowMs = timers.nowMs();
    this.#worstLateMs = Math.max(this.#worstLateMs, nowMs - this.#nextTickMs);
    const heap = readHeap();
    this.#mostHeapBytes = Math.max(this.#mostHeapBytes, heap.usedBytes);
    const isNearLimit = heap.usedBytes > WARNED_HEAP_SHARE * heap.limitBytes;
    if (isNearLimit && nowMs - this.#warnedAtMs >= WARNING_INTERVAL_MS) this.#warn(heap, nowMs);
    if (nowMs - this.#shortagesLoggedAtMs >= WARNING_INTERVAL_MS) this.#logShortages(heap, nowMs);
  }

  #warn(heap: HeapReading, nowMs: number): void {
    this.#warnedAtMs = nowMs;
    this.#options.log.write(RESOURCE_EVENTS.heapNearLimit, this.#fields(heap));
  }

  #logShortages(heap: HeapReading, nowMs: number): void {
    const rejected = this.#rejectedRequests;
    const dropped = this.#droppedConnections;
    if (rejected + dropped === 0) return;
    const { log } = this.#options;
    this.#shortagesLoggedAtMs = nowMs;
    this.#rejectedRequests = 0;
    this.#droppedConnections = 0;
    const fields = this.#fields(heap);
    if (rejected > 0) log.write(RESOURCE_EVENTS.requestsBeyondResources, { rejected, ...fields });
    if (dropped > 0) {
      const sockets = openSockets();
      log.write(RESOURCE_EVENTS.connectionsDropped, { dropped, sockets, ...fields });
    }
  }

  #fields({ usedBytes, limitBytes }: HeapReading): LogFields {
    const { rss, external } = process.memoryUsage();
    return {
      heapMb: megabytes(usedBytes),
      limitMb: megabytes(limitBytes),
      externalMb: megabytes(external),
      residentMb: megabytes(rss),
      ...this.#options.holders(),
    };
  }
}

/** The heap as V8 counts it. */
export function readHeap(): HeapReading {
  const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
  return { usedBytes, limitBytes };
}

/** Processor time of the process since its start, in its own code and in the system's. */
export function processorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** Open sockets of the process, those that listen included. */
export function openSockets(): number {
  const isSocket = (resource: string) => resource.startsWith('TCP') || resource.startsWith('UDP');
  return process.getActiveResourcesInfo().filter(isSocket).length;
}

function megabytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MEGABYTE);
}
