/** Records which requests a backend ran; survives emulated restarts, so that tests can verify it. */

/** How a request ended. `cut`: ended by an order; `lost`: the process crashed. */
export type LedgerOutcome = 'active' | 'finished' | 'cancelled' | 'cut' | 'lost';

/** One accepted request. */
export interface LedgerEntry {
  readonly attempt: string;
  readonly boot: string;
  readonly outcome: LedgerOutcome;
}

/** The totals and the newest entries. */
export interface LedgerPage {
  readonly counts: Readonly<Record<LedgerOutcome, number>>;
  readonly entries: readonly LedgerEntry[];
}

const MAX_ENTRIES = 50_000;

/** Counts every request by outcome and keeps the newest entries. */
export class Ledger {
  readonly #entries = new Map<string, LedgerEntry>();
  readonly #counts = { active: 0, finished: 0, cancelled: 0, cut: 0, lost: 0 };

  /** Records an accepted request. */
  recordAccepted(attempt: string, boot: string): void {
    this.#counts.active += 1;
    this.#entries.delete(attempt);
    this.#entries.set(attempt, { attempt, boot, outcome: 'active' });
    if (this.#entries.size <= MAX_ENTRIES) return;
    const oldest = this.#entries.keys().next();
    if (oldest.done !== true) this.#entries.delete(oldest.value);
  }

  /** Records how a request ended. */
  recordEnded(attempt: string, outcome: Exclude<LedgerOutcome, 'active'>): void {
    this.#counts.active -= 1;
    this.#counts[outcome] += 1;
    const entry = this.#entries.get(attempt);
    if (entry !== undefined) this.#entries.set(attempt, { ...entry, outcome });
  }

  /** The totals and all retained entries. */
  page(): LedgerPage {
    return { counts: { ...this.#counts }, entries: [...this.#entries.values()] };
  }
}
