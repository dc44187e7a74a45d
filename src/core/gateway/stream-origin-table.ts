/** The origins of streams that this daemon has begun, or keeps for other daemons, until no caller takes them up any more. */
import type { StreamOrigin } from './stream-origin.js';

/** Beyond this, the oldest records are dropped, which rejects the resumptions of their streams. */
const MAX_RECORDS = 50_000;
const SWEEP_INTERVAL_MS = 1_000;

/** Where and when a stream began. */
export interface StreamRecord {
  readonly streamId: string;
  readonly origin: StreamOrigin;
  readonly beganAtMs: number;
  /** When no caller takes the stream up any more. */
  readonly endsAtMs: number;
}

/** Records by the id of their stream. */
export class StreamOriginTable<Entry extends StreamRecord = StreamRecord> {
  /** In the order in which they were recorded. */
  readonly #records = new Map<string, Entry>();
  #sweptAtMs = Number.NEGATIVE_INFINITY;

  get size(): number {
    return this.#records.size;
  }

  add(record: Entry, nowMs: number): void {
    const known = this.#records.get(record.streamId);
    if (known !== undefined && known.beganAtMs > record.beganAtMs) return;
    this.#records.delete(record.streamId);
    this.#records.set(record.streamId, record);
    this.#sweep(nowMs);
  }

  get(streamId: string, nowMs: number): Entry | undefined {
    const record = this.#records.get(streamId);
    return record !== undefined && record.endsAtMs > nowMs ? record : undefined;
  }

  all(nowMs: number): readonly Entry[] {
    return [...this.#records.values()].filter(({ endsAtMs }) => endsAtMs > nowMs);
  }

  #sweep(nowMs: number): void {
    const [oldest] = this.#records.keys();
    if (this.#records.size > MAX_RECORDS && oldest !== undefined) this.#records.delete(oldest);
    if (nowMs - this.#sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.#sweptAtMs = nowMs;
    for (const [id, { endsAtMs }] of this.#records) if (endsAtMs <= nowMs) this.#records.delete(id);
  }
}
