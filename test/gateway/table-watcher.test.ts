/** How a watched table is followed: what is asked of the store, and when. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WatchAnswer, WatchedRow, WatchedTable } from '../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../src/shell/gateway/relay-digest.js';
import { type TableConsumer, TableWatcher } from '../../src/shell/gateway/table-watcher.js';
import { WatchRetryQueue } from '../../src/shell/gateway/watch-retry-queue.js';
import { ManualTimers } from './support/manual-timers.js';

const GATHER_MS = 400;
const TIMING = { callTimeoutMs: 1_000, firstReadTimeoutMs: 3_000, maxRetryDelayMs: 500 };

/** A table in which a row changes with every call. */
class RestlessTable implements WatchedTable<number> {
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

/** Keeps the values of all rows that it is given; a whole read differs where it has a value that was not. */
function collectorOf(taken: number[]): TableConsumer<number> {
  const take = (rows: readonly { readonly kind: string }[]) => {
    const before = new Set(taken);
    for (const row of rows) if ('value' in row) taken.push(Number(row.value));
    return taken.some((value) => !before.has(value));
  };
  return { applyAll: take, applyChanges: take };
}

function watcherOf(table: RestlessTable, batchMs: number, timers: ManualTimers, taken: number[]) {
  return new TableWatcher<number>({
    table,
    consumer: collectorOf(taken),
    timing: () => ({ ...TIMING, holdMs: 1_000 }),
    random: Math.random,
    retryQueue: new WatchRetryQueue(timers),
    batchMs,
    handleEra: () => undefined,
    recheckSpans: { cutMs: 6_000, historyLostMs: 12_000 },
    timers,
    log: { write: () => undefined },
  });
}

/** Lets everything run that waits for no timer. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('changes that come close together are gathered: the first is taken at once, the next later', async () => {
  const timers = new ManualTimers();
  const table = new RestlessTable();
  const taken: number[] = [];
  const watcher = watcherOf(table, GATHER_MS, timers, taken);
  const running = watcher.run();
  await settled();
  assert.deepEqual(taken, [1, 2]);
  timers.advance(GATHER_MS - 1);
  await settled();
  assert.equal(table.calls, 2);
  timers.advance(1);
  await settled();
  assert.deepEqual(taken, [1, 2, 3]);
  watcher.stop();
  timers.advance(GATHER_MS);
  await running;
});

/** A table whose rows change only when a test says so; calls are held. */
class HeldTable implements WatchedTable<number> {
  readonly name = 'held';
  calls = 0;
  isDown = false;
  /** Whether a call that fails is refused, not cut. */
  isRefusing = false;
  wholeReads = 0;
  revision = 10;

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
    return Promise.resolve({ kind: 'rows', rows, era: 0, revision: this.revision });
  }
}

const WORD_AGE_MS = 1_600;

function followerOf(table: WatchedTable<number>, timers: ManualTimers, taken: number[]) {
  const digest = new RelayDigest(timers, WORD_AGE_MS);
  const watcher = new TableWatcher<number>({
    table,
    consumer: collectorOf(taken),
    timing: () => ({ ...TIMING, holdMs: 3_000 }),
    random: Math.random,
    retryQueue: new WatchRetryQueue(timers),
    digest: { table: 'servers', from: digest },
    batchMs: GATHER_MS,
    handleEra: () => undefined,
    recheckSpans: { cutMs: 6_000, historyLostMs: 12_000 },
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

test('while a relay says that nothing changed the store is not asked, and at once when it has', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const taken: number[] = [];
  const { digest, watcher } = followerOf(table, timers, taken);
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
  assert.equal(taken.at(-1), 12);
  watcher.stop();
  timers.advance(GATHER_MS);
  await running;
});

test('when the digest stays out, or a relay’s look at the store is old, the daemon looks for itself', async () => {
  for (const isOld of [false, true]) {
    const timers = new ManualTimers();
    const table = new HeldTable();
    const { digest, watcher } = followerOf(table, timers, []);
    digest.apply(digestAt(10));
    const running = watcher.run();
    await settled();
    assert.equal(table.calls, 1);
    timers.advance(WORD_AGE_MS - 1);
    if (isOld) digest.apply(digestAt(10, WORD_AGE_MS));
    await settled();
    assert.equal(table.calls, 1);
    timers.advance(2);
    await settled();
    assert.ok(table.calls >= 2);
    watcher.stop();
    timers.advance(GATHER_MS);
    await running;
  }
});

test('after a call was cut the table is read whole some times, with no relay to do so', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const { watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isDown = true;
  timers.advance(GATHER_MS);
  await settled();
  table.isDown = false;
  const before = table.wholeReads;
  for (let look = 0; look < 10; look += 1) {
    timers.advance(GATHER_MS * 3);
    await settled();
  }
  assert.ok(table.wholeReads - before >= 4, `${table.wholeReads - before} whole reads`);
  const reread = watcher.progress.reread;
  assert.equal(reread, table.revision, 'those who rely on this daemon read it whole as well');
  watcher.stop();
  timers.advance(3 * GATHER_MS);
  await running;
});

/** A table that answers a held call when it changes, as the store does. */
class QuietTable implements WatchedTable<number> {
  readonly name = 'quiet';
  isDown = false;
  readonly #timers: ManualTimers;
  readonly #held = new Set<() => void>();
  #revision = 10;

  constructor(timers: ManualTimers) {
    this.#timers = timers;
  }

  /** Calls that are held have their answer at once. */
  change(revision: number): void {
    this.#revision = revision;
    for (const answer of [...this.#held]) answer();
  }

  /** Cuts the calls that are held, and fails others. */
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

test('a change that a relay takes up by a recheck reaches its followers at once', async () => {
  const timers = new ManualTimers();
  const table = new QuietTable(timers);
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
  // While the relay gathers, another comes: its next read is a whole one, as it was cut before.
  table.change(30);
  await pass(GATHER_MS + 200);
  assert.equal(seen.at(-1), 30);
  for (const each of [relay, watcher]) each.stop();
  await pass(3 * GATHER_MS);
  await Promise.all(running);
});

test('after a refused call the table is followed from where it was left', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const { watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isRefusing = true;
  table.isDown = true;
  timers.advance(GATHER_MS);
  await settled();
  table.isDown = false;
  for (let look = 0; look < 4; look += 1) {
    timers.advance(GATHER_MS * 3);
    await settled();
  }
  assert.equal(table.wholeReads, 1);
  assert.equal(watcher.progress.reread, 0);
  watcher.stop();
  timers.advance(3 * GATHER_MS);
  await running;
});

test('where the relay had to read the table whole the daemon does so too, once', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
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
  timers.advance(GATHER_MS);
  await running;
});

test('a revision that the relay has followed without a change is asked from, not an old one', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const { digest, watcher } = followerOf(table, timers, []);
  digest.apply(digestAt(10));
  const running = watcher.run();
  await settled();
  digest.apply(digestAt(10, 0, 90));
  await settled();
  assert.equal(watcher.progress.seen, 90);
  watcher.stop();
  timers.advance(GATHER_MS);
  await running;
});

test('while the store refuses, a fresh digest of the relay ends the wait', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const { digest, watcher } = followerOf(table, timers, []);
  const running = watcher.run();
  await settled();
  table.isRefusing = true;
  table.isDown = true;
  timers.advance(GATHER_MS);
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
  timers.advance(GATHER_MS);
  await running;
});

test('a digest that goes back in revisions is not believed', () => {
  const digest = new RelayDigest(new ManualTimers(), WORD_AGE_MS);
  digest.apply(digestAt(12));
  digest.apply(digestAt(11));
  assert.equal(digest.hasChanged('servers', { era: 0, revision: 11 }), true);
});

test('changes that a relay passes on are taken where they join, without a call', async () => {
  const timers = new ManualTimers();
  const table = new HeldTable();
  const taken: number[] = [];
  const { digest, watcher } = followerOf(table, timers, taken);
  const changes = (after: number, revision: number) => ({
    era: 0,
    after,
    revision,
    rows: [{ kind: 'value', key: 'row', value: revision }] as const,
  });
  digest.apply(digestAt(10));
  watcher.offer(changes(0, 99));
  const running = watcher.run();
  await settled();
  watcher.offer(changes(10, 12));
  watcher.offer(changes(8, 11));
  watcher.offer(changes(13, 14));
  assert.deepEqual(taken, [10, 12], 'neither what came too early, nor old, nor after a gap');
  digest.apply(digestAt(12));
  await settled();
  assert.equal(table.calls, 1);
  table.revision = 14;
  digest.apply(digestAt(14));
  await settled();
  assert.equal(table.calls, 2);
  assert.equal(taken.at(-1), 14);
  watcher.stop();
  timers.advance(GATHER_MS);
  await running;
});

// Its digest made an older one fresh, which went on saying that nothing had changed.
test('a digest of an era before, as a relay of an earlier release sends it, makes none fresh', () => {
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
