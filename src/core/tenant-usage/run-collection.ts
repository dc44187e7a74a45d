/**
 * The counts of one window as the daemon that reports it has them from the others. Each daemon answers in
 * numbered parts that fit a datagram; an answer that comes twice counts once, and another life of the same
 * daemon counts beside the one before, as it has counted other requests.
 */
import type { TenantCounts } from './run-counts.js';

/** A part of one daemon's counts of a window. */
export interface UsagePart {
  readonly daemon: string;
  readonly incarnation: number;
  readonly window: number;
  /** From 0. */
  readonly part: number;
  readonly parts: number;
  readonly counts: readonly (readonly [tenant: string, runs: number])[];
}

/** Entries of one part, so that it stays within one packet. */
const MOST_ENTRIES = 60;

/** A daemon's counts as parts to be sent; at least one, as an empty answer is an answer. */
export function splitIntoParts(
  counts: TenantCounts,
  head: Pick<UsagePart, 'daemon' | 'incarnation' | 'window'>,
): readonly UsagePart[] {
  const entries = [...counts];
  const parts = Math.max(1, Math.ceil(entries.length / MOST_ENTRIES));
  return Array.from({ length: parts }, (_, part) => ({
    ...head,
    part,
    parts,
    counts: entries.slice(part * MOST_ENTRIES, (part + 1) * MOST_ENTRIES),
  }));
}

/** What has come in for one window. */
export class UsageCollection {
  readonly window: number;
  /** By daemon and life, then by part. */
  readonly #received = new Map<string, Map<number, UsagePart>>();
  /** Daemons whose answer is whole. */
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

  /** The sum over all that came in, by tenants in the order of their names: the same counts read the same. */
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
