/**
 * Follows one table of the platform's store: one full read, then its changes by long polls. After the store has lost
 * its history, the table is fully read again, and rereads repeat for a while since reads may be stale; for a shorter
 * while after a connection was cut. After a call that the store only refused, the changes are followed from the last
 * known revision.
 *
 * While the relay of the zone sends fresh digests, this daemon calls the store only when a digest shows a change, and
 * fully reads the table again when the relay had to.
 *
 * A store that was restored from an older copy assigns the same revisions again: the first answer of its new era causes
 * a full read, and answers of earlier eras are rejected.
 */
import {
  FollowedRevisions,
  FollowedSpan,
  RecheckSchedule,
  type RowsOrigin,
  type TableProgress,
  TRANSIT_MS,
} from '../../core/gateway/index.js';
import { ENTRY_EVENTS } from '../../core/logging/catalogue/entries.js';
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
  isOutage,
  type RecheckSpans,
  type WatchTiming,
} from './watch-timing.js';

/** The share of the retry delay over which the retries of many daemons are spread. */
const RETRY_SPREAD = 0.3;
/** The hold of a poll after a failed call: an immediate answer shows at once that the store is back. */
const MIN_HOLD_MS = 1;

/** All changes of a table between two of the store's revisions. */
export interface TableChanges<Value> extends StorePosition {
  readonly after: number;
  readonly rows: readonly WatchedRow<Value>[];
}

/** Receives the rows of a table. */
export interface TableConsumer<Value> {
  /** Applies the complete table as of one moment. @returns whether it differs from what was known */
  applyAll(rows: readonly WatchedRow<Value>[], origin: RowsOrigin): boolean;
  applyChanges(rows: readonly WatchedRow<Value>[], origin: RowsOrigin): void;
  /** Receives changes that came from the store itself and may be forwarded to other daemons. */
  readonly forward?: (changes: TableChanges<Value>) => void;
}

/** The relay's digest of one table. */
export interface DigestSource {
  readonly table: FollowedTable;
  readonly from: RelayDigest;
  /** Whether this daemon has all rows that the relay has; absent if that cannot be determined. */
  readonly isUpToDateWithRelay?: () => boolean;
}

/** Dependencies and settings of a `TableWatcher`. */
export interface TableWatcherOptions<Value> {
  readonly table: WatchedTable<Value>;
  readonly consumer: TableConsumer<Value>;
  readonly timing: () => WatchTiming;
  /** The relay's digest of this table; absent if the daemon always follows the table itself. */
  readonly digest?: DigestSource;
  /** Changes that come within this time are fetched in one call; 0 fetches each at once. */
  readonly batchMs: number;
  /** While changes keep coming, the batch time grows by `batchMs` with each batch, up to this. */
  readonly maxBatchMs: number;
  /** How long full reads are repeated after a disturbance. */
  readonly recheckSpans: RecheckSpans;
  /** A longer time between two answers counts as a gap. */
  readonly maxAnswerGapMs: number;
  /** Called when the store answers in a newer era than before. */
  readonly handleEra: (era: number) => void;
  /** Called when the store, or a relay, provides data again after failed calls; `awayMs` since the first of them began. */
  readonly handleReturn?: (awayMs: number) => void;
  /** A random number from 0 to below 1, to spread the retries of many daemons. */
  readonly random: () => number;
  /** Shared by all watches of this daemon. */
  readonly retryQueue: WatchRetryQueue;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The watch of one table. */
export class TableWatcher<Value> {
  readonly #options: TableWatcherOptions<Value>;
  readonly #stopped = new AbortController();
  /** Aborts a wait or a long poll because a full read was requested or the watch is stopped. */
  #interrupt = new AbortController();
  #isFullReadRequested = false;
  /** Those who wait for a full read, numbered in their order. */
  readonly #readWaiters = new Map<number, () => void>();
  #lastReadWaiter = 0;
  readonly #revisions = new FollowedRevisions();
  #loggedStale: StorePosition | undefined;
  /** When the store's current era was first seen; undefined once the table was fully read in it. */
  #eraSeenAtMs: number | undefined;
  #failuresInARow = 0;
  /** Answers without changes since changes were last read: whole reads that are older than the history cause one each. */
  #unreadChangesInARow = 0;
  #callStartedMs = 0;
  /** When the first failed call since the last data began; undefined if no call has failed since. */
  #awaySinceMs: number | undefined;
  /** When data last began again after calls had failed for as long as an outage. */
  #lastReturnMs = Number.NEGATIVE_INFINITY;
  readonly #rechecks = new RecheckSchedule();
  /** Whether this watch waits and has no call to the store under way. */
  #isIdle = false;
  #batchesInARow = 0;
  #lastAnswerMs: number;
  #asOfMs = Number.NEGATIVE_INFINITY;
  readonly #followed: FollowedSpan;
  /** Calls to the store since the start. */
  callsTotal = 0;

  constructor(options: TableWatcherOptions<Value>) {
    this.#options = options;
    this.#lastAnswerMs = options.timers.nowMs();
    this.#followed = new FollowedSpan(options.maxAnswerGapMs);
  }

  /** When the store last answered. */
  get lastAnswerMs(): number {
    return this.#lastAnswerMs;
  }

  /** How long the table has been followed without a gap; undefined if it is not followed now. */
  get followedMs(): number | undefined {
    return this.#followed.lengthMs(this.#options.timers.nowMs());
  }

  /**
   * Applies changes that another daemon received from the store, but only while this watch has no call under way and
   * only if they continue from what it has followed, so that no change is missed or undone.
   * @param sentAfterMs they were sent after this moment; minus infinity if that is not known
   */
  offer(changes: TableChanges<Value>, sentAfterMs: number): void {
    if (!this.#isIdle || !this.#revisions.isContiguous(changes)) return;
    this.#revisions.advanceTo(changes.revision);
    this.#revisions.recordChange(changes.revision);
    this.#recordData();
    this.#options.consumer.applyChanges(changes.rows, this.#originOfOffer(changes, sentAfterMs));
  }

  /** Handles an era that the store has reported; a newer era invalidates everything that was followed. */
  handleEra(era: number): void {
    if (this.#revisions.compareEra({ era }) !== 'newer') return;
    this.#enterEra(era);
    this.requestFullRead();
  }

  /** Whether the table needs a full read before its changes can be followed. */
  /** The name of the table, for the log. */
  get name(): string {
    return this.#options.table.name;
  }

  get needsFullRead(): boolean {
    return this.#revisions.seen === undefined;
  }

  /**
   * Whether the store was there, for this daemon and so for servers too, as long as reads are repeated after a cut. A call
   * that failed and was soon followed by an answer leaves it so: no row expires in that time.
   */
  get isSteady(): boolean {
    const { timers, timing, recheckSpans } = this.#options;
    const nowMs = timers.nowMs();
    const isAway = this.#awaySinceMs !== undefined && isOutage(nowMs - this.#awaySinceMs, timing());
    return !isAway && nowMs - this.#lastReturnMs >= recheckSpans.cutMs;
  }

  /** A time at which the store held just what this watch has followed. */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  /** How far the table was followed; advertised to other daemons that follow it. */
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

  /** Starts a full read as soon as no other full read is under way. */
  requestFullRead(): void {
    this.#isFullReadRequested = true;
    this.#interrupt.abort();
  }

  /** Fully reads the table; resolves once a read that has begun after this call is applied. */
  readAgain(): Promise<void> {
    const applied = new Promise<void>((resolve) => {
      this.#lastReadWaiter += 1;
      this.#readWaiters.set(this.#lastReadWaiter, resolve);
    });
    this.requestFullRead();
    return applied;
  }

  #endReadWaiters(upTo: number): void {
    for (const [waiter, resolve] of this.#readWaiters) {
      if (waiter > upTo) continue;
      this.#readWaiters.delete(waiter);
      resolve();
    }
  }

  async #step(): Promise<void> {
    if (this.#interrupt.signal.aborted) this.#interrupt = new AbortController();
    const isAdvertised = this.#rechecks.isUnderWay && this.#revisions.seen === undefined;
    if (this.#isFullReadRequested) return this.#readAll(isAdvertised);
    this.#adoptRelayProgress();
    if (this.#revisions.seen === undefined) return this.#readAll(isAdvertised);
    // After a failed call the change feed is polled first: its answer shows whether the history was lost.
    const isAnswered = this.#failuresInARow === 0;
    if (isAnswered) await this.#recheck();
    if (this.#revisions.seen !== undefined) return this.#readChanges();
  }

  /** If this daemon has all rows that its relay has, it follows the table from the relay's revision on. */
  #adoptRelayProgress(): void {
    const { digest } = this.#options;
    if (!this.#hasFreshDigest || digest?.isUpToDateWithRelay?.() !== true) return;
    const progress = digest.from.progressOf(digest.table);
    if (progress !== undefined && this.#revisions.adoptProgress(progress)) this.#rechecks.end();
  }

  /** Whether the relay's digest of this table is recent enough to rely on. */
  get #hasFreshDigest(): boolean {
    const { digest } = this.#options;
    return digest?.from.isFreshFor(digest.table, this.#revisions.era) === true;
  }

  /** Does a repeated full read if one is due; while the relay's digest is fresh, the relay does them for the zone. */
  async #recheck(): Promise<void> {
    const { timers } = this.#options;
    if (this.#hasFreshDigest) this.#rechecks.end();
    const recheck = this.#rechecks.next(timers.nowMs());
    if (recheck === 'none') return;
    const answer = await this.#readRows();
    // After a stale read the change feed continues from its last revision.
    if (answer === undefined) return;
    if (this.#revisions.isStale(answer)) return this.#logStale(answer);
    const origin = this.#originOfRead(answer);
    // The last read, the first in an era and a read that shows something new are advertised, so that daemons that rely
    // on this one fully read the table too. After any other read the change feed continues from its last revision.
    const hasDiffered = this.#options.consumer.applyAll(answer.rows, origin);
    const isFirstOfEra = this.#revisions.seen === undefined;
    if (recheck === 'last' || hasDiffered || isFirstOfEra) this.#resumeFrom(answer.revision, true);
  }

  /** @param isAdvertised whether the daemons that rely on this one must fully read the table as well */
  async #readAll(isAdvertised: boolean): Promise<void> {
    const lastWaiter = this.#lastReadWaiter;
    const answer = await this.#readRows();
    if (answer === undefined) return;
    if (this.#revisions.isStale(answer)) {
      this.#logStale(answer);
      return this.#handleFailure({ kind: 'failed', reason: 'a stale read', wasRefused: true });
    }
    this.#options.consumer.applyAll(answer.rows, this.#originOfRead(answer));
    this.#resumeFrom(answer.revision, isAdvertised);
    this.#endReadWaiters(lastWaiter);
  }

  /** All rows of the table, or undefined after a failure. */
  async #readRows(): Promise<Extract<WatchAnswer<Value>, { kind: 'rows' }> | undefined> {
    const { table } = this.#options;
    this.#isFullReadRequested = false;
    const answer = await this.#call(
      this.#readTimeoutMs,
      this.#stopped.signal,
      (signal, recordPage) => table.readAll(signal, recordPage),
    );
    if (answer.kind !== 'rows') {
      await this.#handleFailure(answer);
      return undefined;
    }
    if (!this.#revisions.isStale(answer)) this.#recordSuccess();
    return answer;
  }

  /** Logs each stale position once, since stale reads are repeated. */
  #logStale({ era, revision }: StorePosition): void {
    const position = { era, revision };
    if (this.#loggedStale !== undefined && isSamePosition(this.#loggedStale, position)) return;
    this.#loggedStale = position;
    const { log, table } = this.#options;
    const { era: knownEra, revision: knownRevision } = this.#revisions.changed;
    const known = { knownEra, knownRevision };
    log.write(GATEWAY_EVENTS.staleRead, { table: table.name, era, revision, ...known });
  }

  /** Before its first full read a daemon can serve nothing, so it gives a slow store more time. */
  get #readTimeoutMs(): number {
    const { callTimeoutMs, firstReadTimeoutMs } = this.#options.timing();
    return this.#revisions.hasRead ? callTimeoutMs : firstReadTimeoutMs;
  }

  /** Follows the changes from a full read on. */
  #resumeFrom(revision: number, isAdvertised: boolean): void {
    this.#revisions.resumeFrom(revision, isAdvertised);
    this.#logReadInEra();
  }

  #logReadInEra(): void {
    if (this.#eraSeenAtMs === undefined) return;
    const { log, table, timers } = this.#options;
    const { era, revision } = this.#revisions.whole;
    const tookMs = Math.round(timers.nowMs() - this.#eraSeenAtMs);
    log.write(GATEWAY_EVENTS.storeEraRead, { table: table.name, era, revision, tookMs });
    this.#eraSeenAtMs = undefined;
  }

  async #readChanges(): Promise<void> {
    const { consumer, batchMs } = this.#options;
    // While reads may be stale, this daemon polls the store itself.
    if (!this.#rechecks.isUnderWay) {
      await this.#awaitDigest();
      if (this.#interrupt.signal.aborted) return;
      if (this.#wasRereadByRelay) return this.#readAll(false);
    }
    const { era, seen: after = 0 } = this.#revisions;
    const answer = await this.#pollChanges(after);
    // If the era changed, the answer lacks changes that the new era has at lower revisions.
    const isSameEra = this.#revisions.era === era;
    if (answer.kind !== 'rows') {
      // A poll that was aborted for a requested full read does not count as a failure of the store.
      return this.#isFullReadRequested ? undefined : this.#handleFailure(answer);
    }
    this.#recordSuccess();
    this.#unreadChangesInARow = 0;
    if (!isSameEra) return;
    this.#revisions.advanceTo(answer.revision);
    const origin = this.#originOfPoll(answer);
    if (answer.rows.length === 0) {
      this.#batchesInARow = 0;
      return;
    }
    this.#revisions.recordChange(answer.revision);
    consumer.applyChanges(answer.rows, origin);
    consumer.forward?.({ era, after, revision: answer.revision, rows: answer.rows });
    if (batchMs > 0) await this.#awaitBatch(batchMs);
  }

  /** Polls without a hold after a failed call, since a hold would delay the first answer of a store that is back. */
  #pollChanges(after: number): Promise<WatchAnswer<Value>> {
    const { table, timing } = this.#options;
    const { holdMs, callTimeoutMs } = timing();
    const isHeld = this.#failuresInARow === 0;
    const waitMs = isHeld ? holdMs : MIN_HOLD_MS;
    const limitMs = isHeld ? holdMs + ANSWER_SLACK_MS : callTimeoutMs;
    return this.#call(limitMs, this.#interrupt.signal, (signal) =>
      table.changesAfter(after, waitMs, signal),
    );
  }

  #originOfRead({ era, revision }: StorePosition): RowsOrigin {
    const changedAfterMs = this.#recordAsOf(this.#callStartedMs);
    return { source: 'store', era, revision, changedAfterMs };
  }

  /** The store answers a held poll at the first change, so what such an answer shows has only just changed. */
  #originOfPoll({ era, revision }: StorePosition): RowsOrigin {
    const answeredAfterMs = this.#options.timers.nowMs() - TRANSIT_MS;
    const wasHeld = answeredAfterMs > this.#callStartedMs;
    const knownAsOfMs = this.#recordAsOf(wasHeld ? answeredAfterMs : this.#callStartedMs);
    const changedAfterMs = wasHeld ? answeredAfterMs : knownAsOfMs;
    return { source: 'store', era, revision, changedAfterMs };
  }

  /** A relay forwards its answer at once, and the rows in it waited at most for its batch. */
  #originOfOffer({ era, revision }: StorePosition, sentAfterMs: number): RowsOrigin {
    const readAfterMs = sentAfterMs - TRANSIT_MS;
    const knownAsOfMs = this.#recordAsOf(readAfterMs);
    const changedAfterMs = Math.max(knownAsOfMs, readAfterMs - this.#options.maxBatchMs);
    return { source: 'relay', era, revision, changedAfterMs };
  }

  /** Records a time as of which the store's contents are known. @returns the one known before */
  #recordAsOf(asOfMs: number): number {
    const before = this.#asOfMs;
    if (!Number.isFinite(asOfMs)) return before;
    this.#asOfMs = Math.max(before, asOfMs);
    this.#followed.record(asOfMs, this.#options.timers.nowMs());
    return before;
  }

  /** Waits before the next call, so that it fetches several changes; the wait grows while changes keep coming. */
  async #awaitBatch(batchMs: number): Promise<void> {
    const { maxBatchMs, timers } = this.#options;
    this.#batchesInARow += 1;
    const waitMs = Math.min(maxBatchMs, batchMs * this.#batchesInARow);
    await this.#idle(delay(timers, waitMs, this.#interrupt.signal));
  }

  /** Waits until the relay's digest shows a change or is no longer fresh. */
  async #awaitDigest(): Promise<void> {
    const { digest } = this.#options;
    if (digest === undefined) return;
    const { signal } = this.#interrupt;
    await this.#idle(digest.from.waitWhileCurrent(() => this.#isCurrent(digest), signal));
  }

  #isCurrent({ table, from }: DigestSource): boolean {
    this.#adoptRelayProgress();
    if (!this.#hasFreshDigest || this.#wasRereadByRelay) return false;
    const { era, seen: revision = 0 } = this.#revisions;
    this.#revisions.advanceTo(from.advance(table, { era, revision }));
    if (from.hasChanged(table, { era, revision })) return false;
    this.#recordAsOf(from.relayContactAtMs - TRANSIT_MS);
    return true;
  }

  get #wasRereadByRelay(): boolean {
    const { digest } = this.#options;
    if (digest === undefined || !this.#hasFreshDigest) return false;
    return digest.from.wasReread(digest.table, this.#revisions.whole);
  }

  /** Waits; meanwhile changes that other daemons forward are applied. */
  async #idle(waiting: Promise<void>): Promise<void> {
    this.#isIdle = true;
    await waiting;
    this.#isIdle = false;
  }

  /** Enters a newer era; rereads start because reads may be stale for a while, as after a lost history. */
  #enterEra(era: number): void {
    const { log, table, timers, recheckSpans, handleEra } = this.#options;
    const { era: eraBefore, revision: revisionBefore } = this.#revisions.changed;
    this.#revisions.enterEra(era);
    this.#followed.restart();
    this.#eraSeenAtMs ??= timers.nowMs();
    this.#rechecks.begin(timers.nowMs(), recheckSpans.historyLostMs);
    log.write(GATEWAY_EVENTS.storeEraRaised, {
      table: table.name,
      era,
      eraBefore,
      revisionBefore,
    });
    handleEra(era);
  }

  async #call(
    timeoutMs: number,
    signal: AbortSignal,
    call: (signal: AbortSignal, recordPage: () => void) => Promise<WatchAnswer<Value>>,
  ): Promise<WatchAnswer<Value>> {
    this.callsTotal += 1;
    this.#callStartedMs = this.#options.timers.nowMs();
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

  #recordSuccess(): void {
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
    this.#recordData();
  }

  /** Records that rows of the store, from itself or from a relay, are about to be applied. */
  #recordData(): void {
    const { timers, handleReturn } = this.#options;
    if (this.#awaySinceMs === undefined) return;
    const awayMs = timers.nowMs() - this.#awaySinceMs;
    this.#awaySinceMs = undefined;
    if (isOutage(awayMs, this.#options.timing())) this.#lastReturnMs = timers.nowMs();
    handleReturn?.(awayMs);
  }

  async #handleFailure(answer: Exclude<WatchAnswer<Value>, { kind: 'rows' }>): Promise<void> {
    if (this.#stopped.signal.aborted) return;
    const { log, table, timers, recheckSpans } = this.#options;
    switch (answer.kind) {
      case 'history-lost':
        this.#revisions.invalidate();
        this.#rechecks.begin(timers.nowMs(), recheckSpans.historyLostMs);
        log.write(GATEWAY_EVENTS.historyLost, { table: table.name, era: answer.era });
        return this.#backOffFromFullRead();
      case 'too-long':
        this.#recordSuccess();
        this.#isFullReadRequested = true;
        log.write(ENTRY_EVENTS.changesTooLong, { table: table.name });
        return this.#backOffFromFullRead();
      case 'failed':
        return this.#handleFailedCall(answer);
    }
  }

  async #handleFailedCall(answer: Extract<WatchAnswer<Value>, { kind: 'failed' }>): Promise<void> {
    const { log, table, timers, recheckSpans } = this.#options;
    if (!answer.wasRefused) this.#rechecks.begin(timers.nowMs(), recheckSpans.cutMs);
    this.#failuresInARow += 1;
    this.#awaySinceMs ??= this.#callStartedMs;
    if (this.#failuresInARow === 1) {
      log.write(GATEWAY_EVENTS.watchLost, { table: table.name, reason: answer.reason });
    }
    await this.#backOff(this.#failuresInARow);
  }

  /** The first full read after an answer without changes begins at once. */
  async #backOffFromFullRead(): Promise<void> {
    this.#unreadChangesInARow += 1;
    if (this.#unreadChangesInARow > 1) await this.#backOff(this.#unreadChangesInARow - 1);
  }

  /**
   * Waits before a retry, longer with each in a row. A digest that becomes fresh ends the wait, as it may show that no call
   * is needed.
   */
  async #backOff(triesInARow: number): Promise<void> {
    const { digest, timing, random, retryQueue } = this.#options;
    const { maxRetryDelayMs } = timing();
    const backoffMs = FIRST_RETRY_SHARE * maxRetryDelayMs * 2 ** (triesInARow - 1);
    const spread = 1 - RETRY_SPREAD * random();
    const waitMs = Math.min(maxRetryDelayMs, backoffMs) * spread;
    const ended = new AbortController();
    const end = () => ended.abort();
    this.#stopped.signal.addEventListener('abort', end, { once: true });
    // A digest that is fresh already has shown that a call is needed.
    const mayBecomeFresh = digest !== undefined && !digest.from.isFresh;
    if (mayBecomeFresh) digest.from.waitUntilFresh(ended.signal).then(end, end);
    await this.#idle(retryQueue.waitForTurn({ waitMs, callMs: this.#readTimeoutMs }, ended.signal));
    end();
    this.#stopped.signal.removeEventListener('abort', end);
  }
}
