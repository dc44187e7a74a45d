/**
 * Follows one table of the platform's store: read whole, then change by change. When the history is
 * gone, or a call fails, it is read whole again. After a disturbance the table is read once more
 * some times, since a store that was disturbed may answer stale reads for a while.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { WatchAnswer, WatchedRow, WatchedTable } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { FollowedTable, TableWord } from './table-word.js';
import { callWithin, delay, type TimerService } from './timer-service.js';

const FIRST_RETRY_MS = 60;
const LONGEST_RETRY_MS = 500;
/** An answer that takes this much longer than the wait is not coming. */
const ANSWER_SLACK_MS = 500;
const RECHECKS_AFTER_DISTURBANCE = 8;

/** All changes of a table between two of the store's revisions. */
export interface TableChanges<Value> {
  readonly after: number;
  readonly revision: number;
  readonly rows: readonly WatchedRow<Value>[];
}

/** Who takes a table's rows. */
export interface TableConsumer<Value> {
  /** The whole table as of one moment. */
  takeAll(rows: readonly WatchedRow<Value>[]): void;
  takeChanges(rows: readonly WatchedRow<Value>[]): void;
  /** These changes came from the store itself; others may be told of them. */
  passOn?(changes: TableChanges<Value>): void;
}

/** What a watcher is built from. */
export interface TableWatcherOptions<Value> {
  readonly table: WatchedTable<Value>;
  readonly consumer: TableConsumer<Value>;
  /** How long one call is held. */
  readonly waitMs: () => number;
  /** The word of a relay on this table; absent where the daemon always follows it by itself. */
  readonly word?: { readonly table: FollowedTable; readonly from: TableWord };
  /** Changes that come within this time of each other are taken in one call; 0 takes each at once. */
  readonly gatherMs: number;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** A running watch of one table. */
export class TableWatcher<Value> {
  readonly #options: TableWatcherOptions<Value>;
  readonly #stopped = new AbortController();
  #revision: number | undefined;
  #changedRevision = 0;
  #failuresInARow = 0;
  #rechecksLeft = 0;
  #isAwaitingWord = false;
  #lastAnswerMs: number;
  /** Calls made since the start. */
  callsTotal = 0;

  constructor(options: TableWatcherOptions<Value>) {
    this.#options = options;
    this.#lastAnswerMs = options.timers.nowMs();
  }

  /** When the store last answered. */
  get lastAnswerMs(): number {
    return this.#lastAnswerMs;
  }

  /**
   * Takes changes that another daemon had from the store. They count only while this one has no call of
   * its own under way, and only where they join what it has seen, so nothing is left out or set back.
   */
  offer({ after, revision, rows }: TableChanges<Value>): void {
    if (!this.#isAwaitingWord || this.#revision === undefined) return;
    if (this.#revision < after || this.#revision >= revision) return;
    this.#revision = revision;
    this.#changedRevision = revision;
    this.#options.consumer.takeChanges(rows);
  }

  /** Where the table was last seen to have changed, for others who follow it. */
  get changedRevision(): number {
    return this.#changedRevision;
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) await this.#step();
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #step(): Promise<void> {
    if (this.#revision === undefined) return this.#readAll();
    if (this.#rechecksLeft > 0) {
      this.#rechecksLeft -= 1;
      await this.#readAll();
      if (this.#revision === undefined) return;
    }
    return this.#readChanges();
  }

  async #readAll(): Promise<void> {
    const { table, consumer, waitMs } = this.#options;
    const answer = await this.#ask(waitMs(), (signal) => table.readAll(signal));
    if (answer.kind !== 'rows') return this.#handleFailure(answer);
    const isLastOfDisturbance = this.#failuresInARow > 0 || this.#rechecksLeft === 0;
    if (isLastOfDisturbance) this.#changedRevision = answer.revision;
    this.#handleSuccess(answer.revision);
    consumer.takeAll(answer.rows);
  }

  async #readChanges(): Promise<void> {
    const { table, consumer, gatherMs, timers } = this.#options;
    // After a disturbance this daemon looks for itself until it has looked often enough.
    if (this.#rechecksLeft === 0) {
      await this.#awaitWord();
      if (this.#stopped.signal.aborted) return;
    }
    const waitMs = this.#options.waitMs();
    const after = this.#revision ?? 0;
    const answer = await this.#ask(waitMs + ANSWER_SLACK_MS, (signal) =>
      table.changesAfter(after, waitMs, signal),
    );
    if (answer.kind !== 'rows') return this.#handleFailure(answer);
    this.#handleSuccess(answer.revision);
    if (answer.rows.length === 0) return;
    this.#changedRevision = answer.revision;
    consumer.takeChanges(answer.rows);
    consumer.passOn?.({ after, revision: answer.revision, rows: answer.rows });
    if (gatherMs > 0) await delay(timers, gatherMs, this.#stopped.signal);
  }

  /** Until a relay says that the table has changed, or says nothing any more. */
  async #awaitWord(): Promise<void> {
    const { word } = this.#options;
    if (word === undefined) return;
    this.#isAwaitingWord = true;
    await word.from.changed(word.table, () => this.#revision ?? 0, this.#stopped.signal);
    this.#isAwaitingWord = false;
  }

  #ask(
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    this.callsTotal += 1;
    return callWithin(this.#options.timers, timeoutMs, this.#stopped.signal, call);
  }

  #handleSuccess(revision: number): void {
    const { log, table, timers } = this.#options;
    if (this.#failuresInARow > 0) {
      log.write(GATEWAY_EVENTS.watchRegained, {
        table: table.name,
        failures: this.#failuresInARow,
        silentMs: Math.round(timers.nowMs() - this.#lastAnswerMs),
      });
    }
    this.#failuresInARow = 0;
    this.#lastAnswerMs = timers.nowMs();
    this.#revision = revision;
  }

  async #handleFailure(answer: Exclude<WatchAnswer<Value>, { kind: 'rows' }>): Promise<void> {
    if (this.#stopped.signal.aborted) return;
    const { log, table, timers } = this.#options;
    this.#revision = undefined;
    this.#rechecksLeft = RECHECKS_AFTER_DISTURBANCE;
    if (answer.kind === 'history-lost') {
      log.write(GATEWAY_EVENTS.historyLost, { table: table.name });
      return;
    }
    this.#failuresInARow += 1;
    if (this.#failuresInARow === 1) {
      log.write(GATEWAY_EVENTS.watchLost, { table: table.name, reason: answer.reason });
    }
    const backoffMs = FIRST_RETRY_MS * 2 ** (this.#failuresInARow - 1);
    await delay(timers, Math.min(LONGEST_RETRY_MS, backoffMs), this.#stopped.signal);
  }
}
