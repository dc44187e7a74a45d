/**
 * Counts the recent requests that this daemon sent to each server without a permit. If a server turns out to have
 * reported a limit, they count towards it.
 */
import { LEDGER_SPAN_MS, type TimedCount } from './limit-ledger.js';

/** Sends within this time are counted as one entry, dated to its end. */
const BUCKET_MS = 250;

interface Bucket {
  readonly endMs: number;
  count: number;
}

/** Counts of sends, by server. */
export class RecentSends {
  readonly #buckets = new Map<string, Bucket[]>();
  #droppedAtMs = 0;

  record(serverId: string, nowMs: number): void {
    const endMs = (Math.floor(nowMs / BUCKET_MS) + 1) * BUCKET_MS;
    const buckets = this.#buckets.get(serverId) ?? [];
    const last = buckets.at(-1);
    if (last?.endMs === endMs) {
      last.count += 1;
      return;
    }
    if (nowMs - this.#droppedAtMs >= LEDGER_SPAN_MS) this.#dropOld(nowMs);
    const recent = buckets.filter((bucket) => isRecent(bucket, nowMs));
    recent.push({ endMs, count: 1 });
    this.#buckets.set(serverId, recent);
  }

  /** The sends within the ledger's span, with their times. */
  of(serverId: string, nowMs: number): readonly TimedCount[] {
    const buckets = this.#buckets.get(serverId) ?? [];
    const recent = buckets.filter((bucket) => isRecent(bucket, nowMs));
    return recent.map(({ endMs, count }) => ({ atMs: Math.min(endMs, nowMs), count }));
  }

  /** Drops servers without recent sends, including removed ones. */
  #dropOld(nowMs: number): void {
    this.#droppedAtMs = nowMs;
    for (const [serverId, buckets] of this.#buckets) {
      if (!buckets.some((bucket) => isRecent(bucket, nowMs))) this.#buckets.delete(serverId);
    }
  }
}

function isRecent({ endMs }: Bucket, nowMs: number): boolean {
  return nowMs - endMs < LEDGER_SPAN_MS;
}
