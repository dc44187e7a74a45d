/**
 * Follows one table of the platform's store: read whole, then change by change. When the history is
 * gone, or a call fails, it is read whole again. After a disturbance the table is read once more
 * some times, since a store that was disturbed may answer stale reads for a while.
 */
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { WatchAnswer, WatchedRow, WatchedTable } from './ports.js';
import type { GatewayLog } from './request-log.js';
import { callWithin, delay, type TimerService } from './timer-service.js';

const FIRST_RETRY_MS = 60;
const LONGEST_RETRY_MS = 500;
/** An answer that takes this much longer than the wait is not coming. */
const ANSWER_SLACK_MS = 500;
const RECHECKS_AFTER_DISTURBANCE = 8;

/** Who takes a table's rows. */
export interface TableConsumer<Value> {
  /** The whole table as of one moment. */
  takeAll(rows: readonly WatchedRow<Value>[]): void;
  takeChanges(rows: readonly WatchedRow<Value>[]): void;
}

/** What a watcher is built from. */
export interface TableWatcherOptions<Value> {
  readonly table: WatchedTable<Value>;
  readonly consumer: TableConsumer<Value>;
  /** How long one call is held. */
  readonly waitMs: number;
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
  #failuresInARow = 0;
  #rechecksLeft = 0;
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

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) await this.#step();
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #step(): Promise<void> {
    const revision = this.#revision;
    if (revision === undefined) return this.#readAll();
    if (this.#rechecksLeft > 0) {
      this.#rechecksLeft -= 1;
      await this.#readAll();
      if (this.#revision === undefined) return;
    }
    return this.#readChanges(this.#revision ?? revision);
  }

  async #readAll(): Promise<void> {
    const { table, consumer, waitMs } = this.#options;
    const answer = await this.#ask(waitMs, (signal) => table.readAll(signal));
    if (answer.kind !== 'rows') return this.#handleFailure(answer);
    this.#handleSuccess(answer.revision);
    consumer.takeAll(answer.rows);
  }

  async #readChanges(revision: number): Promise<void> {
    const { table, consumer, waitMs, gatherMs, timers } = this.#options;
    const answer = await this.#ask(waitMs + ANSWER_SLACK_MS, (signal) =>
      table.changesAfter(revision, waitMs, signal),
    );
    if (answer.kind !== 'rows') return this.#handleFailure(answer);
    this.#handleSuccess(answer.revision);
    if (answer.rows.length === 0) return;
    consumer.takeChanges(answer.rows);
    if (gatherMs > 0) await delay(timers, gatherMs, this.#stopped.signal);
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
