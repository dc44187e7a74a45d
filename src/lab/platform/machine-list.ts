/** The machine list, which shows the fleet with a configurable lag. */
import type { Milliseconds } from '../../core/common/time.js';
import { contentHash } from '../../core/peer/index.js';
import type { Machine } from '../../core/registry/backend.js';

type Change =
  | { readonly kind: 'put'; readonly at: Milliseconds; readonly machine: Machine }
  | { readonly kind: 'remove'; readonly at: Milliseconds; readonly name: string };

/** The list as a reader sees it. */
export interface MachineListView {
  readonly ageMs: Milliseconds;
  readonly machines: readonly Machine[];
}

/** Holds changes until they become visible. The visible state never goes back in time. */
export class MachineList {
  private readonly shown = new Map<string, Machine>();
  /** Revision of `shown`, computed on demand; null after a change. */
  private revision: string | null = null;
  private shownAsOf: Milliseconds | null = null;
  private pending: Change[] = [];

  constructor(private lagMs: Milliseconds) {}

  /** Sets the lag. A longer lag freezes the visible list until the lag has built up. */
  setLag(lagMs: Milliseconds): void {
    this.lagMs = lagMs;
  }

  /** Adds a machine or replaces the machine of the same name. */
  put(machine: Machine, now: Milliseconds): void {
    this.pending.push({ kind: 'put', at: now, machine });
  }

  /** Removes a machine. */
  remove(name: string, now: Milliseconds): void {
    this.pending.push({ kind: 'remove', at: now, name });
  }

  /** The list as of `lagMs` ago, sorted by name. */
  read(now: Milliseconds): MachineListView {
    const asOf = Math.max(this.shownAsOf ?? now - this.lagMs, now - this.lagMs);
    this.showUntil(asOf);
    const machines = [...this.shown.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    return { ageMs: Math.max(0, now - asOf), machines };
  }

  /** The revision of the visible list: equal content has an equal revision. */
  revisionAt(now: Milliseconds): string {
    const { machines } = this.read(now);
    this.revision ??= contentHash(JSON.stringify(machines));
    return this.revision;
  }

  private showUntil(asOf: Milliseconds): void {
    this.shownAsOf = asOf;
    const due = this.pending.filter((change) => change.at <= asOf);
    this.pending = this.pending.filter((change) => change.at > asOf);
    for (const change of due) this.show(change);
  }

  private show(change: Change): void {
    this.revision = null;
    if (change.kind === 'remove') this.shown.delete(change.name);
    else this.shown.set(change.machine.name, change.machine);
  }
}
