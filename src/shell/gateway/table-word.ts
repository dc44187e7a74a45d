/**
 * What the relay of a zone says of the store's tables: how far each has changed. While its word is fresh
 * a daemon asks the store only for changes that it says there are; when it stays out, or is old, the
 * daemon follows the tables by itself. The word carries no rows, so nothing it says can set a daemon back.
 */
import type { TableWordMessage } from '../../core/gateway/index.js';
import type { TimerService } from './timer-service.js';

/** A table that daemons follow. */
export type FollowedTable = 'configurations' | 'servers';

/** The newest word of the own zone's relay. */
export class TableWord {
  readonly #timers: TimerService;
  readonly #maxAgeMs: number;
  readonly #listeners = new Set<() => void>();
  #word: TableWordMessage | undefined;
  #freshUntilMs = Number.NEGATIVE_INFINITY;

  /** @param maxAgeMs how old a look at the store may be that is relied on */
  constructor(timers: TimerService, maxAgeMs: number) {
    this.#timers = timers;
    this.#maxAgeMs = maxAgeMs;
  }

  get isFresh(): boolean {
    return this.#timers.nowMs() < this.#freshUntilMs;
  }

  /** Takes a word; one that was delayed makes none fresh that is older. */
  take(word: TableWordMessage): void {
    const freshUntilMs = this.#timers.nowMs() + this.#maxAgeMs - word.ageMs;
    this.#freshUntilMs = Math.max(this.#freshUntilMs, freshUntilMs);
    this.#word = {
      configurations: Math.max(word.configurations, this.#word?.configurations ?? 0),
      servers: Math.max(word.servers, this.#word?.servers ?? 0),
      ageMs: word.ageMs,
    };
    for (const listener of [...this.#listeners]) listener();
  }

  /** No relay's word is to be relied on any more, as this daemon is the relay. */
  drop(): void {
    this.#freshUntilMs = Number.NEGATIVE_INFINITY;
    for (const listener of [...this.#listeners]) listener();
  }

  /** Whether the table has changed beyond a revision. */
  hasChanged(table: FollowedTable, revision: number): boolean {
    return (this.#word?.[table] ?? 0) > revision;
  }

  /** Until the table has changed beyond a revision, or the word is no longer fresh. */
  async changed(table: FollowedTable, revision: () => number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isFresh && !this.hasChanged(table, revision())) {
      await this.#nextWord(this.#freshUntilMs - this.#timers.nowMs(), signal);
    }
  }

  /** Until the next word, the end of a time, or the signal, whichever comes first. */
  #nextWord(mostMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        this.#listeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = this.#timers.after(mostMs, finish);
      this.#listeners.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }
}
