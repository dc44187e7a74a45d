/**
 * Collects the counts of one window at the daemon that reports it. Each daemon answers in numbered parts that fit into
 * a datagram. A part that arrives twice counts once. Another incarnation of the same daemon counts in addition, as it
 * has counted different requests.
 */
import type { TenantCounts } from './run-counts.js';

/** One part of a daemon's counts of a window. */
export interface UsagePart {
  readonly daemon: string;
  readonly incarnation: number;
  readonly window: number;
  /** The index of the part, from 0. */
  readonly part: number;
  readonly parts: number;
  readonly counts: readonly (readonly [tenant: string, runs: number])[];
}

/** The maximum number of entries of a part, so that a part fits into one packet. */
const MAX_ENTRIES_PER_PART = 60;

/** Splits a daemon's counts into parts. There is at least one, so that a daemon without counts also answers. */
export function splitIntoParts(
  counts: TenantCounts,
  head: Pick<UsagePart, 'daemon' | 'incarnation' | 'window'>,
): readonly UsagePart[] {
  const entries = [...counts];
  const parts = Math.max(1, Math.ceil(entries.length / MAX_ENTRIES_PER_PART));
  return Array.from({ length: parts }, (_, part) => ({
    ...head,
    part,
    parts,
    counts: entries.slice(part * MAX_ENTRIES_PER_PART, (part + 1) * MAX_ENTRIES_PER_PART),
  }));
}

/** The counts received for one window. */
export class UsageCollection {
  readonly window: number;
  /** By daemon and incarnation, then by part. */
  readonly #received = new Map<string, Map<number, UsagePart>>();
  /** Daemons whose answer is complete. */
  readonly #answered = new Set<string>();

  constructor(window: number) {
    this.window = window;
  }

  addPart(part: UsagePart): void {
    if (part.window !== this.window) return;
    const key = `${part.daemon} ${part.incarnation}`;
    const known = this.#received.get(key) ?? new Map<number, UsagePart>();
    this.#received.set(key, known);
    known.set(part.part, part);
    if (known.size >= part.parts) this.#answered.add(part.daemon);
  }

  hasAnswered(daemon: string): boolean {
    return this.#answered.has(daemon);
  }

  get answers(): number {
    return this.#answered.size;
  }

  /** The sum of all received counts, sorted by tenant name so that equal counts are serialized equally. */
  total(): TenantCounts {
    const total = new Map<string, number>();
    for (const parts of this.#received.values()) {
      for (const { counts } of parts.values()) {
        for (const [tenant, runs] of counts) total.set(tenant, (total.get(tenant) ?? 0) + runs);
      }
    }
    return new Map([...total].sort(([left], [right]) => (left < right ? -1 : 1)));
  }
}
