/**
 * Follows one table of the platform's store: read whole, then change by change. When the store has lost
 * the history the table is read whole, and for a while again some times, since reads may be stale then; for a
 * shorter while when a call was cut. A store that only refused a call is asked again from where the table was left.
 *
 * While the relay of the zone says how far the table has changed, the store is asked only where it has, and
 * read whole where the relay had to.
 *
 * A store that came back from an older copy gives revisions out again: with the first answer of its new era the table
 * is read whole, and answers of an era before are not taken.
 */
import {
  FollowedRevisions,
  RecheckSchedule,
  type TableProgress,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { isSamePosition, type StorePosition } from '../../core/platform/store-position.js';
import type { WatchAnswer, WatchedRow, WatchedTable } from './ports.js';
import type { FollowedTable, RelayDigest } from './relay-digest.js';
import type { GatewayLog } from './request-log.js';
import { callWithTimeout, delay, type TimerService } from './timer-service.js';
import type { WatchRetryQueue } from './watch-retry-queue.js';
import {
  ANSWER_SLACK_MS,
  FIRST_RETRY_SHARE,
  type RecheckSpans,
  type WatchTiming,
} from './watch-timing.js';

/** Retries of many daemons are spread over this part of their wait. */
const RETRY_SPREAD = 0.3;
/** After a call that failed the store is asked to hold none: any answer says that it is back. */
const LEAST_HOLD_MS = 1;
/** Changes that go on are gathered for longer each time, up to this many times the first. */
const MOST_GATHER_GROWTH = 3;

/** All changes of a table between two of the store's revisions. */
export interface TableChanges<Value> extends StorePosition {
  readonly after: number;
  readonly rows: readonly WatchedRow<Value>[];
}

/** Who takes a table's rows. */
export interface TableConsumer<Value> {
  /** The whole table as of one moment. @returns whether that differs from what was known */
  applyAll(rows: readonly WatchedRow<Value>[]): boolean;
  applyChanges(rows: readonly WatchedRow<Value>[]): void;
  /** These changes came from the store itself; others may be told of them. */
  readonly forward?: (changes: TableChanges<Value>) => void;
}

/** Where the digest of a relay on a table is had from. */
export interface DigestSource {
  readonly table: FollowedTable;
  readonly from: RelayDigest;
  /** Whether this daemon has all that the relay has, whatever either has seen of the table; absent where it can't tell. */
  readonly isUpToDateWithRelay?: () => boolean;
}

/** What a watcher is built from. */
export interface TableWatcherOptions<Value> {
  readonly table: WatchedTable<Value>;
  readonly consumer: TableConsumer<Value>;
  readonly timing: () => WatchTiming;
  /** The digest of a relay on this table; absent where the daemon always follows it by itself. */
  readonly digest?: DigestSource;
  /** Changes that come within this time of each other are taken in one call; 0 takes each at once. */
  readonly batchMs: number;
  /** For how long a table is read whole again. */
  readonly recheckSpans: RecheckSpans;
  /** Told when the store answers in another era than before. */
  readonly handleEra: (era: number) => void;
  /** From 0 to below 1, to spread the retries of many daemons. */
  readonly random: () => number;
  /** Shared by all watches of this daemon. */
  readonly retryQueue: WatchRetryQueue;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** A running watch of one table. */
export class TableWatcher<Value> {
  readonly #options: TableWatcherOptions<Value>;
  readonly #stopped = new AbortController();
  /** Ends a wait or a held call, as there is something to look for, or this watch is stopped. */
  #interrupt = new AbortController();
  #mustLook = false;
  readonly #revisions = new FollowedRevisions();
  #loggedStale: StorePosition | undefined;
  /** When the store was first heard in its era, until the table was read whole in it. */
  #eraSinceMs: number | undefined;
  #failuresInARow = 0;
  readonly #rechecks = new RecheckSchedule();
  /** Whether no call of its own is under way. */
  #isIdle = false;
  #gathersInARow = 0;
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
  offer(changes: TableChanges<Value>): void {
    if (!this.#isIdle || !this.#revisions.isContiguous(changes)) return;
    this.#revisions.advanceTo(changes.revision);
    this.#revisions.recordChange(changes.revision);
    this.#options.consumer.applyChanges(changes.rows);
  }

  /** The store was heard in an era; a later one than before makes all that was followed worth nothing. */
  handleEra(era: number): void {
    if (this.#revisions.compareEra({ era }) !== 'newer') return;
    this.#enterEra(era);
    this.requestFullRead();
  }

  /** Whether the table has to be read whole before its changes are followed. */
  get needsFullRead(): boolean {
    return this.#revisions.seen === undefined;
  }

  /** How far the table was followed, for others who follow it. */
  get progress(): TableProgress {
    return this.#revisions.progress;
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) await this.#step();
  }

  stop(): void {
    this.#stopped.abort();
    this.#interrupt.abort();
  }

  /** Reads the table whole as soon as no other such call is under way. */
  requestFullRead(): void {
    this.#mustLook = true;
    this.#interrupt.abort();
  }

  async #step(): Promise<void> {
    if (this.#interrupt.signal.aborted) this.#interrupt = new AbortController();
    const isToldToZone = this.#rechecks.isUnderWay && this.#revisions.seen === undefined;
    if (this.#mustLook) return this.#readAll(isToldToZone);
    this.#takeOverProgress();
    if (this.#revisions.seen === undefined) return this.#readAll(isToldToZone);
    // After a cut the feed is asked first: it says whether the history was lost.
    const isAnswered = this.#failuresInARow === 0;
    if (isAnswered) await this.#recheck();
    if (this.#revisions.seen !== undefined) return this.#readChanges();
  }

  /** Where this daemon has all that its relay has, it goes on from where the relay has followed the table to. */
  #takeOverProgress(): void {
    const { digest } = this.#options;
    if (!this.#hasFreshDigest || digest?.isUpToDateWithRelay?.() !== true) return;
    const progress = digest.from.progressOf(digest.table);
    if (progress !== undefined && this.#revisions.adoptProgress(progress)) this.#rechecks.end();
  }

  /** Whether there is a digest that says what the table is now. */
  get #hasFreshDigest(): boolean {
    const { digest } = this.#options;
    return digest?.from.isFreshFor(digest.table, this.#revisions.era) === true;
  }

  /** Reads the table whole once more where that is due; the relay, where its digest is fresh, does so for the whole zone. */
  async #recheck(): Promise<void> {
    const { timers } = this.#options;
    if (this.#hasFreshDigest) this.#rechecks.end();
    const recheck = this.#rechecks.next(timers.nowMs());
    if (recheck === 'none') return;
    const answer = await this.#readRows();
    // After a stale read the feed goes on from where it was.
    if (answer === undefined) return;
    if (this.#revisions.isStale(answer)) return this.#logStale(answer);
    // Changes go on from where they were followed to: what this read has taken up is still to be passed on.
    const hasDiffered = this.#options.consumer.applyAll(answer.rows);
    const isFirstOfEra = this.#revisions.seen === undefined;
    if (recheck === 'last' || hasDiffered || isFirstOfEra) this.#goOnFrom(answer.revision, true);
  }

  /** @param isToldToZone whether those who rely on this daemon are to read the table whole as well */
  async #readAll(isToldToZone: boolean): Promise<void> {
    const answer = await this.#readRows();
    if (answer === undefined) return;
    if (this.#revisions.isStale(answer)) {
      this.#logStale(answer);
      return this.#handleFailure({ kind: 'failed', reason: 'a stale read', wasRefused: true });
    }
    this.#options.consumer.applyAll(answer.rows);
    this.#goOnFrom(answer.revision, isToldToZone);
  }

  /** The whole table, or undefined after a failure. */
  async #readRows(): Promise<Extract<WatchAnswer<Value>, { kind: 'rows' }> | undefined> {
    const { table } = this.#options;
    this.#mustLook = false;
    const answer = await this.#ask(this.#lookMs, this.#stopped.signal, (signal) =>
      table.readAll(signal),
    );
    if (answer.kind !== 'rows') {
      await this.#handleFailure(answer);
      return undefined;
    }
    if (!this.#revisions.isStale(answer)) this.#noteSuccess();
    return answer;
  }

  /** One line for each place: a read that is stale is made again and again. */
  #logStale({ era, revision }: StorePosition): void {
    const position = { era, revision };
    if (this.#loggedStale !== undefined && isSamePosition(this.#loggedStale, position)) return;
    this.#loggedStale = position;
    const { log, table } = this.#options;
    const { era: knownEra, revision: knownRevision } = this.#revisions.changed;
    const known = { knownEra, knownRevision };
    log.write(GATEWAY_EVENTS.staleRead, { table: table.name, era, revision, ...known });
  }

  /** A daemon that has nothing to serve by yet gives a slow store more time. */
  get #lookMs(): number {
    const { callTimeoutMs, firstReadTimeoutMs } = this.#options.timing();
    return this.#revisions.hasRead ? callTimeoutMs : firstReadTimeoutMs;
  }

  /** Changes are followed from a whole read on; what changed before is not known change by change. */
  #goOnFrom(revision: number, isToldToZone: boolean): void {
    this.#revisions.resumeFrom(revision, isToldToZone);
    this.#noteReadInEra();
  }

  #noteReadInEra(): void {
    if (this.#eraSinceMs === undefined) return;
    const { log, table, timers } = this.#options;
    const { era, revision } = this.#revisions.whole;
    const tookMs = Math.round(timers.nowMs() - this.#eraSinceMs);
    log.write(GATEWAY_EVENTS.storeEraRead, { table: table.name, era, revision, tookMs });
    this.#eraSinceMs = undefined;
  }

  async #readChanges(): Promise<void> {
    const { consumer, batchMs } = this.#options;
    // While reads may be stale this daemon looks for itself.
    if (!this.#rechecks.isUnderWay) {
      await this.#awaitDigest();
      if (this.#interrupt.signal.aborted) return;
      if (this.#wasRereadByRelay) return this.#readAll(false);
    }
    const { era, seen: after = 0 } = this.#revisions;
    const answer = await this.#askForChanges(after);
    // Changes after a revision of another era leave out what was written below it.
    const isOfAskedEra = this.#revisions.era === era;
    if (answer.kind !== 'rows') {
      // A call that was given up for a look is no word on the store.
      return this.#mustLook ? undefined : this.#handleFailure(answer);
    }
    this.#noteSuccess();
    if (!isOfAskedEra) return;
    this.#revisions.advanceTo(answer.revision);
    if (answer.rows.length === 0) {
      this.#gathersInARow = 0;
      return;
    }
    this.#revisions.recordChange(answer.revision);
    consumer.applyChanges(answer.rows);
    consumer.forward?.({ era, after, revision: answer.revision, rows: answer.rows });
    if (batchMs > 0) await this.#gather(batchMs);
  }

  /** A hold would hide for as long that the store is back, so none is asked for after a call that failed. */
  #askForChanges(after: number): Promise<WatchAnswer<Value>> {
    const { table, timing } = this.#options;
    const { holdMs, callTimeoutMs } = timing();
    const isHeld = this.#failuresInARow === 0;
    const waitMs = isHeld ? holdMs : LEAST_HOLD_MS;
    const limitMs = isHeld ? holdMs + ANSWER_SLACK_MS : callTimeoutMs;
    return this.#ask(limitMs, this.#interrupt.signal, (signal) =>
      table.changesAfter(after, waitMs, signal),
    );
  }

  /** Lets changes come together before the next call; the longer they go on, the longer. */
  async #gather(batchMs: number): Promise<void> {
    this.#gathersInARow = Math.min(MOST_GATHER_GROWTH, this.#gathersInARow + 1);
    await this.#idle(
      delay(this.#options.timers, batchMs * this.#gathersInARow, this.#interrupt.signal),
    );
  }

  /** Until a relay says that there is something to look for, or says nothing any more. */
  async #awaitDigest(): Promise<void> {
    const { digest } = this.#options;
    if (digest === undefined) return;
    const { signal } = this.#interrupt;
    await this.#idle(digest.from.waitWhileCurrent(() => this.#isCurrent(digest), signal));
  }

  #isCurrent({ table, from }: DigestSource): boolean {
    this.#takeOverProgress();
    if (!this.#hasFreshDigest || this.#wasRereadByRelay) return false;
    const { era, seen: revision = 0 } = this.#revisions;
    this.#revisions.advanceTo(from.advance(table, { era, revision }));
    return !from.hasChanged(table, { era, revision });
  }

  get #wasRereadByRelay(): boolean {
    const { digest } = this.#options;
    if (digest === undefined || !this.#hasFreshDigest) return false;
    return digest.from.wasReread(digest.table, this.#revisions.whole);
  }

  /** Waits; meanwhile changes that others pass on are taken. */
  async #idle(waiting: Promise<void>): Promise<void> {
    this.#isIdle = true;
    await waiting;
    this.#isIdle = false;
  }

  /** Reads may be stale for a while, as after a lost history. */
  #enterEra(era: number): void {
    const { log, table, timers, recheckSpans, handleEra } = this.#options;
    const { era: eraBefore, revision: revisionBefore } = this.#revisions.changed;
    this.#revisions.enterEra(era);
    this.#eraSinceMs ??= timers.nowMs();
    this.#rechecks.begin(timers.nowMs(), recheckSpans.historyLostMs);
    log.write(GATEWAY_EVENTS.storeEraRaised, {
      table: table.name,
      era,
      eraBefore,
      revisionBefore,
    });
    handleEra(era);
  }

  async #ask(
    timeoutMs: number,
    signal: AbortSignal,
    call: (signal: AbortSignal) => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    this.callsTotal += 1;
    const answer = await callWithTimeout(this.#options.timers, timeoutMs, signal, call);
    const { era } = answer;
    if (era === undefined) return answer;
    switch (this.#revisions.compareEra({ era })) {
      case 'same':
        return answer;
      case 'first':
        this.#revisions.enterEra(era);
        return answer;
      case 'newer':
        this.#enterEra(era);
        return answer;
      case 'older':
        return { kind: 'failed', reason: 'an answer of an era before', wasRefused: true };
    }
  }

  #noteSuccess(): void {
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
    this.#options.retryQueue.recordStoreAnswer();
  }

  async #handleFailure(answer: Exclude<WatchAnswer<Value>, { kind: 'rows' }>): Promise<void> {
    if (this.#stopped.signal.aborted) return;
    const { log, table, timers, recheckSpans } = this.#options;
    if (answer.kind === 'history-lost') {
      this.#revisions.invalidate();
      this.#rechecks.begin(timers.nowMs(), recheckSpans.historyLostMs);
      log.write(GATEWAY_EVENTS.historyLost, { table: table.name, era: answer.era });
      return;
    }
    if (!answer.wasRefused) this.#rechecks.begin(timers.nowMs(), recheckSpans.cutMs);
    this.#failuresInARow += 1;
    if (this.#failuresInARow === 1) {
      log.write(GATEWAY_EVENTS.watchLost, { table: table.name, reason: answer.reason });
    }
    await this.#backOff();
  }

  /** A fresh digest of the relay ends the wait, as it may say that there is nothing to ask for. */
  async #backOff(): Promise<void> {
    const { digest, timing, random, retryQueue } = this.#options;
    const { maxRetryDelayMs } = timing();
    const backoffMs = FIRST_RETRY_SHARE * maxRetryDelayMs * 2 ** (this.#failuresInARow - 1);
    const spread = 1 - RETRY_SPREAD * random();
    const waitMs = Math.min(maxRetryDelayMs, backoffMs) * spread;
    const ended = new AbortController();
    const end = () => ended.abort();
    this.#stopped.signal.addEventListener('abort', end, { once: true });
    // A fresh digest says already that there is something to ask for.
    const mayHear = digest !== undefined && !digest.from.isFresh;
    if (mayHear) void digest.from.waitUntilFresh(ended.signal).then(end);
    await this.#idle(retryQueue.waitForTurn({ waitMs, callMs: this.#lookMs }, ended.signal));
    end();
    this.#stopped.signal.removeEventListener('abort', end);
  }
}
