/** Daemons that report the usage of tenants together: over a table, datagrams and the platform, in memory. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerRoster } from '../../src/core/gateway/index.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import type { PeerMessage, UsageMessage } from '../../src/shell/gateway/peer-messages.js';
import type { DutyAuthority, DutyOutcome, UsageReport } from '../../src/shell/gateway/ports.js';
import { UsageReporter } from '../../src/shell/gateway/tenant-usage.js';
import { ManualTimers } from '../gateway/support/manual-timers.js';
import { MemoryTable } from '../gateway/support/memory-table.js';

const WINDOW_MS = 5_000;
const DUE_MS = 10_000;
const STEP_MS = 50;
/** The window in which a day begins. */
const FIRST_WINDOW = 1_000;

interface Reported extends UsageReport, DutyAuthority {}

class Fleet {
  readonly timers = new ManualTimers();
  readonly table = new MemoryTable();
  readonly reports: Reported[] = [];
  readonly lines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
  readonly daemons = new Map<string, UsageReporter>();
  /** What the platform answers in turn; taken once it is empty. */
  readonly outcomes: DutyOutcome[] = [];
  readonly #startedMs = this.timers.nowMs();

  /** @param only the one that is started; all of them where it is left out */
  add(names: readonly string[], only?: string): void {
    for (const name of only === undefined ? names : [only]) {
      const roster = new PeerRoster({ name, zone: 'a' });
      roster.replace(
        names.map((other) => ({ name: other, host: '127.0.0.1', port: 1, zone: 'a' })),
        0,
      );
      const daemon = this.#reporter(name, roster);
      this.daemons.set(name, daemon);
      void daemon.run();
    }
  }

  kill(name: string): void {
    this.daemons.get(name)?.stop();
    this.daemons.delete(name);
  }

  stop(): void {
    for (const daemon of this.daemons.values()) daemon.stop();
  }

  /** Lets time pass in small steps, with what each sets off. */
  async pass(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
      this.timers.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #reporter(name: string, roster: PeerRoster): UsageReporter {
    return new UsageReporter({
      daemon: name,
      incarnation: 1,
      leaseMs: 3_000,
      windowMs: WINDOW_MS,
      dueMs: DUE_MS,
      duties: {
        reportUsage: (report, authority) => this.#report(report, authority),
        orderCapacity: () => Promise.reject(new Error('no capacity is ordered here')),
      },
      table: this.table,
      roster,
      peers: () => ({ sendMessage: (peers, message) => this.#tell(name, peers, message) }),
      wallClock: () => FIRST_WINDOW * WINDOW_MS + this.timers.nowMs() - this.#startedMs,
      timers: this.timers,
      leaseTimers: this.timers,
      log: { write: (event, fields = {}) => void this.lines.push({ event, fields }) },
    });
  }

  #report(report: UsageReport, authority: DutyAuthority): Promise<DutyOutcome> {
    const outcome = this.outcomes.shift() ?? { kind: 'accepted' };
    // Windows from before the day have nothing in them.
    const isOfDay = report.window >= FIRST_WINDOW;
    if (outcome.kind === 'accepted' && isOfDay) {
      this.reports.push({ ...report, ...authority, window: report.window - FIRST_WINDOW });
    }
    return Promise.resolve(outcome);
  }

  #tell(from: string, peers: readonly { readonly name: string }[], message: PeerMessage): void {
    const reply = (answer: PeerMessage) => this.#take(from, answer, () => undefined);
    for (const { name } of peers) this.#take(name, message, reply);
  }

  #take(name: string, message: PeerMessage, reply: (answer: PeerMessage) => void): void {
    this.daemons.get(name)?.handleMessage(message as UsageMessage, reply);
  }
}

test('one daemon reports what all counted, once for each window, at one write each', async () => {
  const fleet = new Fleet();
  fleet.add(['a', 'b', 'c', 'd']);
  for (const daemon of fleet.daemons.values()) daemon.recordRunStart('leiden', 0);
  fleet.daemons.get('b')?.recordRunStart('delft', 0);
  await fleet.pass(6 * WINDOW_MS);
  fleet.stop();
  assert.deepEqual(
    fleet.reports.map(({ window }) => window),
    [0, 1, 2, 3, 4],
  );
  assert.deepEqual(fleet.reports[0]?.counts, { delft: 1, leiden: 4 });
  assert.deepEqual(fleet.reports[1]?.counts, {});
  assert.equal(new Set(fleet.reports.map(({ holder }) => holder)).size, 1);
  assert.equal(fleet.table.writes, 5 + 2, 'two windows were open at the start');
});

test('when the holder is gone another reports in its place, under a higher fence and in time', async () => {
  const fleet = new Fleet();
  fleet.add(['a', 'b', 'c', 'd']);
  await fleet.pass(2 * WINDOW_MS);
  const holder = fleet.reports[0]?.holder ?? '';
  fleet.kill(holder);
  const others = [...fleet.daemons.values()];
  for (const daemon of others) daemon.recordRunStart('leiden', 0);
  await fleet.pass(WINDOW_MS + DUE_MS);
  fleet.stop();
  const second = fleet.reports.find((report) => report.window === 2);
  assert.notEqual(second?.holder, holder);
  assert.deepEqual(second?.counts, { leiden: 3 });
  assert.ok((second?.fence ?? 0) > (fleet.reports[0]?.fence ?? 0));
});

// The record was lost with the store's copy, and a daemon that had just started reported the window once more.
test('a window is reported with one set of counts though the store came back from a copy without its record', async () => {
  const names = ['a', 'b', 'c', 'd'];
  const pairs = names.flatMap((restarted) => names.map((other) => [restarted, other] as const));
  for (const [restarted, other] of pairs.filter(([one, two]) => one !== two)) {
    const fleet = new Fleet();
    fleet.add(names);
    const hasReported = () => fleet.reports.some(({ window }) => window === 2);
    await fleet.pass(2 * WINDOW_MS + WINDOW_MS / 2);
    const restore = fleet.table.copy();
    for (const daemon of fleet.daemons.values()) daemon.recordRunStart('leiden', 0);
    while (!hasReported()) await fleet.pass(STEP_MS);
    restore();
    for (const name of names) if (name !== other) fleet.kill(name);
    fleet.add(names, restarted);
    await fleet.pass(3 * WINDOW_MS);
    fleet.stop();
    const countsOf = new Map<number, Set<string>>();
    for (const { window, counts } of fleet.reports) {
      const known = countsOf.get(window) ?? new Set();
      countsOf.set(window, known.add(JSON.stringify(counts)));
    }
    const twice = [...countsOf].filter(([, counts]) => counts.size > 1);
    assert.deepEqual(twice, [], `${restarted} started again beside ${other}`);
    assert.ok(countsOf.has(4), 'the next windows are reported');
  }
});

test('a report without an answer is sent again with the same counts and fence', async () => {
  const fleet = new Fleet();
  fleet.add(['a']);
  fleet.daemons.get('a')?.recordRunStart('leiden', 0);
  fleet.outcomes.push({ kind: 'lost', reason: 'reset' }, { kind: 'refused', status: 429 });
  await fleet.pass(2 * WINDOW_MS);
  fleet.stop();
  assert.deepEqual(fleet.reports, [{ window: 0, counts: { leiden: 1 }, holder: 'a', fence: 1 }]);
});

test('windows that passed while the store was down are reported when it is back, if still due', async () => {
  const fleet = new Fleet();
  fleet.add(['a', 'b']);
  await fleet.pass(2 * WINDOW_MS);
  fleet.table.isDown = true;
  for (const daemon of fleet.daemons.values()) daemon.recordRunStart('leiden', 0);
  await fleet.pass(7_000);
  fleet.table.isDown = false;
  await fleet.pass(WINDOW_MS);
  fleet.stop();
  const third = fleet.reports.find(({ window }) => window === 2);
  assert.deepEqual(third?.counts, { leiden: 2 });
});
