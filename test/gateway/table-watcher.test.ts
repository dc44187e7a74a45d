/** The calls that a watcher makes to the store, and when. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WatchAnswer, WatchedRow, WatchedTable } from '../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../src/shell/gateway/relay-digest.js';
import { type TableConsumer, TableWatcher } from '../../src/shell/gateway/table-watcher.js';
import { delay } from '../../src/shell/gateway/timer-service.js';
import { WatchRetryQueue } from '../../src/shell/gateway/watch-retry-queue.js';
import { ManualTimers } from './support/manual-timers.js';

const BATCH_MS = 400;
const MAX_ANSWER_GAP_MS = 4_000;
const TIMING = { callTimeoutMs: 1_000, firstReadTimeoutMs: 3_000, maxRetryDelayMs: 500 };

/** A table in which a row changes at every call. */
class ChangingTable implements WatchedTable<number> {
  readonly name = 'restless';
  calls = 0;

  readAll(): Promise<WatchAnswer<number>> {
    return this.#answer();
  }

  changesAfter(): Promise<WatchAnswer<number>> {
    return this.#answer();
  }

  decode(key: string): WatchedRow<number> {
    return { kind: 'malformed', key, problem: 'not used here' };
  }

  #answer(): Promise<WatchAnswer<number>> {
    this.calls += 1;
    const rows = [{ kind: 'value', key: 'row', value: this.calls }] as const;
    return Promise.resolve({ kind: 'rows', rows, era: 0, revision: this.calls });
  }
}

/** Collects the values of all rows; a full read counts as different if it has a new value. */
function collectorOf(applied: number[]): TableConsumer<number> {
  const apply = (rows: readonly { readonly kind: string }[]) => {
    const before = new Set(applied);
    for (const row of rows) if ('value' in row) applied.push(Number(row.value));
    return applied.some((value) => !before.has(value));
  };
  return { applyAll: apply, applyChanges: apply };
}

function watcherOf(table: ChangingTable, batchMs: number, timers: ManualTimers, applied: number[]) {
  return new TableWatcher<number>({
    table,
    consumer: collectorOf(applied),
    timing: () => ({ ...TIMING, holdMs: 1_000 }),
    random: Math.random,
    retryQueue: new WatchRetryQueue(timers),
    batchMs,
    maxBatchMs: 3 * batchMs,
    handleEra: () => undefined,
    recheckSpans: { cutMs: 6_000, historyLostMs: 12_000 },
    maxAnswerGapMs: MAX_ANSWER_GAP_MS,
    timers,
    log: { write: () => undefined },
  });
}

/** Runs everything that does not wait for a timer. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('the first change is applied at once, further changes are fetched as a batch after the batch time', async () => {
  const timers = new ManualTimers();
  const table = new ChangingTable();
  const applied: number[] = [];
  const watcher = watcherOf(table, BATCH_MS, timers, applied);
  const running = watcher.run();
  await settled();
  assert.deepEqual(applied, [1, 2]);
  timers.advance(BATCH_MS - 1);
  await settled();
  assert.equal(table.calls, 2);
  timers.advance(1);
  await settled();
  assert.deepEqual(applied, [1, 2, 3]);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

/** A table that changes only when a test sets its revision; calls are answered at once. */
class ManualTable implements WatchedTable<number> {
  readonly name = 'held';
  calls = 0;
  isDown = false;
  /** Whether failing calls are refused rather than cut. */
  isRefusing = false;
  wholeReads = 0;
  revision = 10;
  era = 0;

  readAll(): Promise<WatchAnswer<number>> {
    this.wholeReads += 1;
    return this.#answer();
  }

  changesAfter(): Promise<WatchAnswer<number>> {
    return this.#answer();
  }

  decode(key: string): WatchedRow<number> {
    return { kind: 'malformed', key, problem: 'not used here' };
  }

  #answer(): Promise<WatchAnswer<number>> {
    this.calls += 1;
    if (this.isDown)
      return Promise.resolve({ kind: 'failed', reason: 'down', wasRefused: this.isRefusing });
    const rows = [{ kind: 'value', key: 'row', value: this.revision }] as const;
    return Promise.resolve({ kind: 'rows', rows, era: this.era, revision: this.revision });
  }
}

const DIGEST_AGE_MS = 1_600;

function followerOf(
  table: WatchedTable<number>,
  timers: ManualTimers,
  applied: number[],
  handleReturn?: (awayMs: number) => void,
) {
  const digest = new RelayDigest(timers, DIGEST_AGE_MS);
  const watcher = new TableWatcher<number>({
    table,
    consumer: collectorOf(applied),
    timing: () => ({ ...TIMING, holdMs: 3_000 }),
    random: Math.random,
    retryQueue: new WatchRetryQueue(timers),
    digest: { table: 'servers', from: digest },
    ...(handleReturn === undefined ? {} : { handleReturn }),
    batchMs: BATCH_MS,
    maxBatchMs: 3 * BATCH_MS,
    handleEra: () => undefined,
    recheckSpans: { cutMs: 6_000, historyLostMs: 12_000 },
    maxAnswerGapMs: MAX_ANSWER_GAP_MS,
    timers,
    log: { write: () => undefined },
  });
  return { digest, watcher };
}

const digestAt = (changed: number, ageMs = 0, seen = changed, reread = 0) => ({
  configurations: { era: 0, changed: 0, seen: 0, reread: 0 },
  servers: { era: 0, changed, seen, reread },
  ageMs,
  configurationVersion: 0,
  peersChecksum: 1,
});

test('the store is not called while the digest shows no change, and is called at once when it does', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const applied: number[] = [];
  const { digest, watcher } = followerOf(table, timers, applied);
  digest.apply(digestAt(10));
  const running = watcher.run();
  for (let beat = 0; beat < 10; beat += 1) {
    await settled();
    timers.advance(400);
    digest.apply(digestAt(10));
  }
  await settled();
  assert.equal(table.calls, 1);
  table.revision = 12;
  digest.apply(digestAt(12));
  await settled();
  assert.equal(table.calls, 2);
  assert.equal(applied.at(-1), 12);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

test('the daemon calls the store itself when digests stop or the relay has had no contact for long', async () => {
  for (const isOld of [false, true]) {
    const timers = new ManualTimers();
    const table = new ManualTable();
    const { digest, watcher } = followerOf(table, timers, []);
    digest.apply(digestAt(10));
    const running = watcher.run();
    await settled();
    assert.equal(table.calls, 1);
    timers.advance(DIGEST_AGE_MS - 1);
    if (isOld) digest.apply(digestAt(10, DIGEST_AGE_MS));
    await settled();
    assert.equal(table.calls, 1);
    timers.advance(2);
    await settled();
    assert.ok(table.calls >= 2);
    watcher.stop();
    timers.advance(BATCH_MS);
    await running;
  }
});

test('without a relay, full reads are repeated after a call was cut', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isDown = true;
  timers.advance(BATCH_MS);
  await settled();
  table.isDown = false;
  const before = table.wholeReads;
  for (let round = 0; round < 10; round += 1) {
    timers.advance(BATCH_MS * 3);
    await settled();
  }
  assert.ok(table.wholeReads - before >= 4, `${table.wholeReads - before} full reads`);
  const reread = watcher.progress.reread;
  assert.equal(reread, table.revision, 'daemons that rely on this one must read the table too');
  watcher.stop();
  timers.advance(3 * BATCH_MS);
  await running;
});

/** A table that answers a long poll when it changes, as the store does. */
class HoldingTable implements WatchedTable<number> {
  readonly name = 'quiet';
  isDown = false;
  readonly #timers: ManualTimers;
  readonly #held = new Set<() => void>();
  #revision = 10;

  constructor(timers: ManualTimers) {
    this.#timers = timers;
  }

  /** Changes the table and answers held calls at once. */
  change(revision: number): void {
    this.#revision = revision;
    for (const answer of [...this.#held]) answer();
  }

  /** Cuts held calls and makes further calls fail. */
  cut(): void {
    this.isDown = true;
    for (const answer of [...this.#held]) answer();
  }

  readAll(): Promise<WatchAnswer<number>> {
    return Promise.resolve(this.#answerAfter(0));
  }

  changesAfter(after: number, waitMs: number, signal: AbortSignal): Promise<WatchAnswer<number>> {
    if (this.isDown || this.#revision > after) return Promise.resolve(this.#answerAfter(after));
    return new Promise((resolve) => {
      const answer = () => {
        cancel();
        this.#held.delete(answer);
        resolve(this.#answerAfter(after));
      };
      const cancel = this.#timers.after(waitMs, answer);
      this.#held.add(answer);
      signal.addEventListener('abort', answer, { once: true });
    });
  }

  decode(key: string): WatchedRow<number> {
    return { kind: 'malformed', key, problem: 'not used here' };
  }

  #answerAfter(after: number): WatchAnswer<number> {
    if (this.isDown) return { kind: 'failed', reason: 'cut', wasRefused: false };
    const revision = this.#revision;
    const row = { kind: 'value', key: 'row', value: revision } as const;
    return { kind: 'rows', rows: revision > after ? [row] : [], era: 0, revision };
  }
}

test('a change that the relay finds by a repeated full read reaches its followers at once', async () => {
  const timers = new ManualTimers();
  const table = new HoldingTable(timers);
  const relay = followerOf(table, timers, []).watcher;
  const seen: number[] = [];
  const { digest, watcher } = followerOf(table, timers, seen);
  const pass = async (spanMs: number) => {
    for (let passedMs = 0; passedMs < spanMs; passedMs += 50) {
      digest.apply({ ...digestAt(0), servers: relay.progress });
      await settled();
      timers.advance(50);
      await settled();
    }
  };
  const running = [relay.run()];
  await settled();
  table.cut();
  await settled();
  table.isDown = false;
  await pass(600);
  running.push(watcher.run());
  await pass(200);
  table.change(20);
  await pass(100);
  // Another change comes while the relay waits for a batch; its next read is a full one because of the cut.
  table.change(30);
  await pass(BATCH_MS + 200);
  assert.equal(seen.at(-1), 30);
  for (const each of [relay, watcher]) each.stop();
  await pass(3 * BATCH_MS);
  await Promise.all(running);
});

test('after a refused call the table is followed from its last revision, without a full read', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isRefusing = true;
  table.isDown = true;
  timers.advance(BATCH_MS);
  await settled();
  table.isDown = false;
  for (let round = 0; round < 4; round += 1) {
    timers.advance(BATCH_MS * 3);
    await settled();
  }
  assert.equal(table.wholeReads, 1);
  assert.equal(watcher.progress.reread, 0);
  watcher.stop();
  timers.advance(3 * BATCH_MS);
  await running;
});

test('when the relay had to fully read the table, the daemon does so too, once', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { digest, watcher } = followerOf(table, timers, []);
  digest.apply(digestAt(10));
  const running = watcher.run();
  await settled();
  assert.equal(table.wholeReads, 1);
  table.revision = 14;
  for (let beat = 0; beat < 4; beat += 1) {
    digest.apply(digestAt(10, 0, 14, 14));
    await settled();
    timers.advance(400);
  }
  assert.equal(table.wholeReads, 2);
  assert.equal(table.calls, 2);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

test('without changes, the daemon advances to the revision that the relay has followed', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { digest, watcher } = followerOf(table, timers, []);
  digest.apply(digestAt(10));
  const running = watcher.run();
  await settled();
  digest.apply(digestAt(10, 0, 90));
  await settled();
  assert.equal(watcher.progress.seen, 90);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

test('while the store refuses calls, a fresh digest without changes ends the retries', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { digest, watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isRefusing = true;
  table.isDown = true;
  timers.advance(BATCH_MS);
  await settled();
  const calls = table.calls;
  digest.apply(digestAt(10));
  for (let beat = 0; beat < 6; beat += 1) {
    await settled();
    timers.advance(400);
    digest.apply(digestAt(10));
  }
  assert.equal(table.calls, calls);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

test('a digest with lower revisions than an earlier one does not undo the earlier one', () => {
  const digest = new RelayDigest(new ManualTimers(), DIGEST_AGE_MS);
  digest.apply(digestAt(12));
  digest.apply(digestAt(11));
  assert.equal(digest.hasChanged('servers', { era: 0, revision: 11 }), true);
});

test('forwarded changes are applied without a call if they continue from what was followed', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const applied: number[] = [];
  const { digest, watcher } = followerOf(table, timers, applied);
  const changes = (after: number, revision: number) => ({
    era: 0,
    after,
    revision,
    rows: [{ kind: 'value', key: 'row', value: revision }] as const,
  });
  digest.apply(digestAt(10));
  watcher.offer(changes(0, 99), timers.nowMs());
  const running = watcher.run();
  await settled();
  watcher.offer(changes(10, 12), timers.nowMs());
  watcher.offer(changes(8, 11), timers.nowMs());
  watcher.offer(changes(13, 14), timers.nowMs());
  assert.deepEqual(
    applied,
    [10, 12],
    'not those before the first read, old ones or ones after a gap',
  );
  digest.apply(digestAt(12));
  await settled();
  assert.equal(table.calls, 1);
  table.revision = 14;
  digest.apply(digestAt(14));
  await settled();
  assert.equal(table.calls, 2);
  assert.equal(applied.at(-1), 14);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

test('what was followed before a restore of the store from an older copy counts no longer', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const { watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await timers.advanceBy(10 * BATCH_MS);
  assert.ok((watcher.followedMs ?? 0) >= 9 * BATCH_MS);
  table.era = 1;
  await timers.advanceBy(4 * BATCH_MS);
  assert.ok(watcher.followedMs !== undefined);
  assert.ok(watcher.followedMs <= 4 * BATCH_MS);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

// Such a digest extended the freshness of an older digest, which kept showing no change.
test('a digest of an earlier era, as a relay of an earlier release sends it, does not extend freshness', () => {
  const timers = new ManualTimers();
  const digest = new RelayDigest(timers, 1_500);
  const inEra = (era: number) => {
    const { configurations, servers, ...rest } = digestAt(10);
    return { ...rest, configurations: { ...configurations, era }, servers: { ...servers, era } };
  };
  digest.apply(inEra(1));
  timers.advance(1_000);
  digest.apply(inEra(0));
  timers.advance(1_000);
  assert.equal(digest.isFresh, false);
  digest.apply(inEra(1));
  assert.equal(digest.isFresh, true);
});

// Otherwise a follower removes servers whose rows expired during an outage, as its relay is back in contact before it is.
test('changes that a relay forwards while own calls fail show that the store is back, before they are applied, and only once', async () => {
  const timers = new ManualTimers();
  const table = new ManualTable();
  const events: string[] = [];
  const applied: number[] = [];
  const { watcher } = followerOf(table, timers, applied, (awayMs) =>
    events.push(`back after ${awayMs}, applied ${applied.length}`),
  );
  const running = watcher.run();
  await settled();
  const before = applied.length;
  table.isDown = true;
  timers.advance(BATCH_MS);
  await settled();
  const { era, seen: after } = watcher.progress;
  timers.advance(1);
  const rows = [{ kind: 'value', key: 'row', value: 12 }] as const;
  watcher.offer({ era, after, revision: 12, rows }, timers.nowMs());
  assert.deepEqual(events, [`back after 1, applied ${before}`]);
  assert.equal(applied.at(-1), 12);
  table.isDown = false;
  timers.advance(TIMING.maxRetryDelayMs);
  await settled();
  assert.equal(events.length, 1);
  watcher.stop();
  timers.advance(BATCH_MS);
  await running;
});

/** A table whose whole reads are older than its history, so that no changes can be read from there. */
class StaleTable extends ChangingTable {
  override changesAfter(): Promise<WatchAnswer<number>> {
    this.calls += 1;
    return Promise.resolve({ kind: 'history-lost', era: 0 });
  }
}

test('a table whose history is lost again after each whole read is not read without a delay', async () => {
  const SPAN_MS = 3_000;
  const timers = new ManualTimers();
  const table = new StaleTable();
  const watcher = watcherOf(table, BATCH_MS, timers, []);
  const running = watcher.run();
  await timers.advanceBy(SPAN_MS);
  watcher.stop();
  timers.advance(SPAN_MS);
  await running;
  // A whole read, a repeated one and a poll between two waits, which grow to the longest.
  const waits = 4 + SPAN_MS / (0.7 * TIMING.maxRetryDelayMs);
  assert.ok(table.calls <= 3 * waits, `${table.calls} calls`);
});

/** A table of many pages, each of which the store answers within the time-out of a call. */
class PagedTable extends ChangingTable {
  static readonly PAGES = 12;
  static readonly PAGE_MS = 0.9 * TIMING.callTimeoutMs;
  readonly #timers: ManualTimers;

  constructor(timers: ManualTimers) {
    super();
    this.#timers = timers;
  }

  override async readAll(
    signal?: AbortSignal,
    recordPage?: () => void,
  ): Promise<WatchAnswer<number>> {
    for (let page = 0; page < PagedTable.PAGES; page += 1) {
      await delay(this.#timers, PagedTable.PAGE_MS, signal);
      if (signal?.aborted === true) return { kind: 'failed', reason: 'late', wasRefused: false };
      recordPage?.();
    }
    return super.readAll();
  }
}

// Guards against a list that is never read, as its pages together take longer than the time-out of one call.
test('a table is read whose pages together take longer than one call may', async () => {
  const timers = new ManualTimers();
  const applied: number[] = [];
  const watcher = watcherOf(new PagedTable(timers), BATCH_MS, timers, applied);
  const running = watcher.run();
  await timers.advanceBy((PagedTable.PAGES + 1) * PagedTable.PAGE_MS);
  watcher.stop();
  timers.advance(PagedTable.PAGE_MS);
  await running;
  assert.notDeepEqual(applied, []);
});
