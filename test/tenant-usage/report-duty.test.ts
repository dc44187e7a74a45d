/**
 * The usage duty with several daemons and an unreliable store and platform. Whichever daemons are killed or frozen and
 * whichever calls are lost or late, a window is reported with one set of counts, a fencing token has one holder, and
 * holders do not alternate within a lease.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type CollectedCounts,
  type UsageAction,
  UsageDuty,
  type UsageRecord,
} from '../../src/core/tenant-usage/index.js';

const LEASE_MS = 3_000;
const WINDOW_MS = 5_000;
const DUE_MS = 10_000;
const STEP_MS = 50;
const WINDOWS = 8;
const SETTLE_MS = 1_000;
const FIRST_TAKE_OVER_MS = 3_000;
const TAKE_OVER_GAP_MS = 600;

/** What happens to one call. */
interface Fate {
  readonly delayMs: number;
  /** When the answer is lost, the call takes effect this long after it was sent, possibly after it was abandoned. */
  readonly lateMs: number;
  readonly kind: 'answered' | 'refused' | 'answer-lost' | 'call-lost';
}

interface Outage {
  readonly daemon: number;
  readonly atMs: number;
  readonly forMs: number;
  readonly kind: 'frozen' | 'killed';
}

interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

interface Sent {
  readonly holder: string;
  readonly fence: number;
  readonly window: number;
  readonly counts: string;
  readonly sentMs: number;
}

/** Disables one protection each, to show that the checks detect the resulting violation. */
interface Mutation {
  readonly forgetsRecord?: boolean;
  readonly keepsFence?: boolean;
  readonly takesOverAtOnce?: boolean;
}

class Simulation {
  nowMs = 0;
  version = 0;
  record: UsageRecord | undefined;
  readonly sent: Sent[] = [];
  readonly accepted: (Sent & { readonly atMs: number })[] = [];
  #highestFence = 0;
  #deliveries: Delivery[] = [];

  at(delayMs: number, deliver: () => void): void {
    this.#deliveries.push({ atMs: this.nowMs + delayMs, deliver });
  }

  advance(): void {
    this.nowMs += STEP_MS;
    const due = this.#deliveries.filter(({ atMs }) => atMs <= this.nowMs);
    this.#deliveries = this.#deliveries.filter(({ atMs }) => atMs > this.nowMs);
    for (const { deliver } of due) deliver();
  }

  write(record: UsageRecord, expectedVersion: number): boolean {
    if (this.version !== expectedVersion) return false;
    this.version += 1;
    this.record = record;
    return true;
  }

  report(sent: Sent): boolean {
    if (sent.fence < this.#highestFence) return false;
    this.#highestFence = sent.fence;
    this.accepted.push({ ...sent, atMs: this.nowMs });
    return true;
  }
}

class Daemon {
  readonly name: string;
  readonly #simulation: Simulation;
  readonly #place: number;
  readonly #mutation: Mutation;
  #incarnation = 1;
  #duty: UsageDuty;
  #collected: CollectedCounts | undefined;
  #isBusy = false;
  #pausedUntilMs = 0;
  #reportedByOther = -1;

  constructor(simulation: Simulation, place: number, mutation: Mutation) {
    this.#simulation = simulation;
    this.#place = place;
    this.#mutation = mutation;
    this.name = `daemon-${place}`;
    this.#duty = this.#newDuty();
  }

  #newDuty(): UsageDuty {
    const incarnation = this.#incarnation;
    return new UsageDuty({ daemon: this.name, incarnation, leaseMs: LEASE_MS });
  }

  kill(): void {
    this.#incarnation += 1;
    this.#duty = this.#newDuty();
    this.#collected = undefined;
    this.#isBusy = false;
    this.#reportedByOther = -1;
  }

  handleReported(window: number): void {
    this.#reportedByOther = Math.max(this.#reportedByOther, window);
  }

  step(fate: () => Fate, advertiseReported: (window: number) => void): void {
    const { nowMs } = this.#simulation;
    if (this.#isBusy || nowMs < this.#pausedUntilMs) return;
    const waitMs = this.#duty.isHolder
      ? SETTLE_MS
      : FIRST_TAKE_OVER_MS + TAKE_OVER_GAP_MS * this.#place;
    const moment = {
      nowMs,
      dueWindow: Math.floor((nowMs - waitMs) / WINDOW_MS) - 1,
      oldestWindow: Math.max(0, Math.floor((nowMs - DUE_MS) / WINDOW_MS)),
      reportedByOther: this.#reportedByOther,
    };
    if (moment.dueWindow < 0) return;
    this.#perform(this.#duty.next(moment, this.#collected), fate(), advertiseReported);
  }

  #perform(action: UsageAction, fate: Fate, advertiseReported: (window: number) => void): void {
    switch (action.kind) {
      case 'none':
        return;
      case 'collect':
        // The counts differ each time, so that a window that is collected twice has different counts.
        this.#collected = { window: action.window, counts: { tenant: this.#simulation.nowMs } };
        return;
      case 'read':
        this.#callRecord(fate, () => false);
        return;
      case 'write': {
        const before = this.#simulation.record;
        const fence = this.#mutation.keepsFence === true ? 1 : action.record.fence;
        const record = { ...action.record, fence };
        this.#callRecord(fate, () => {
          const isFree =
            this.#mutation.forgetsRecord === true && before === this.#simulation.record;
          const expected = isFree ? this.#simulation.version : action.expectedVersion;
          return this.#simulation.write(record, expected);
        });
        return;
      }
      case 'report':
        this.#report(action.record, fate, advertiseReported);
    }
  }

  #callRecord(fate: Fate, carryOut: () => boolean): void {
    const { nowMs: sentMs } = this.#simulation;
    const sentIncarnation = this.#incarnation;
    this.#isBusy = true;
    const done = { isOwnWrite: false };
    if (fate.kind === 'answered' || fate.kind === 'answer-lost') {
      const whenMs = fate.kind === 'answered' ? fate.delayMs : fate.lateMs;
      this.#simulation.at(whenMs, () => {
        done.isOwnWrite = carryOut();
      });
    }
    this.#simulation.at(fate.delayMs, () => {
      if (this.#incarnation !== sentIncarnation) return;
      this.#isBusy = false;
      const { nowMs, record, version } = this.#simulation;
      if (fate.kind === 'answered') {
        const { isOwnWrite } = done;
        const seen = { kind: 'seen', record, version, era: 0, isOwnWrite } as const;
        const hurries = this.#mutation.takesOverAtOnce === true && !isOwnWrite;
        this.#duty.applyRecord(seen, sentMs, hurries ? nowMs - LEASE_MS : nowMs);
        return;
      }
      this.#pausedUntilMs = nowMs + 250;
      const kind = fate.kind === 'refused' ? 'refused' : 'lost';
      this.#duty.applyRecord({ kind }, sentMs, nowMs);
    });
  }

  #report(record: UsageRecord, fate: Fate, advertiseReported: (window: number) => void): void {
    const sentIncarnation = this.#incarnation;
    const { window, fence } = record;
    const counts = JSON.stringify(record.counts);
    const sent = { holder: this.name, fence, window, counts, sentMs: this.#simulation.nowMs };
    this.#simulation.sent.push(sent);
    this.#isBusy = true;
    const done = { isAccepted: false };
    if (fate.kind === 'answered' || fate.kind === 'answer-lost') {
      const whenMs = fate.kind === 'answered' ? fate.delayMs : fate.lateMs;
      this.#simulation.at(whenMs, () => {
        done.isAccepted = this.#simulation.report(sent);
      });
    }
    this.#simulation.at(fate.delayMs, () => {
      if (this.#incarnation !== sentIncarnation) return;
      this.#isBusy = false;
      if (fate.kind !== 'answered') {
        this.#pausedUntilMs = this.#simulation.nowMs + 250;
        this.#duty.recordReportOutcome('unknown', record);
        return;
      }
      this.#duty.recordReportOutcome(done.isAccepted ? 'accepted' : 'deposed', record);
      if (done.isAccepted) advertiseReported(window);
    });
  }
}

const FATE = fc.record({
  delayMs: fc.integer({ min: STEP_MS, max: 1_500 }),
  lateMs: fc.integer({ min: STEP_MS, max: 6_000 }),
  kind: fc.constantFrom('answered', 'answered', 'answered', 'refused', 'answer-lost', 'call-lost'),
}) as fc.Arbitrary<Fate>;
const OUTAGE = fc.record({
  daemon: fc.integer({ min: 0, max: 2 }),
  atMs: fc.integer({ min: 0, max: WINDOWS * WINDOW_MS }),
  forMs: fc.integer({ min: 500, max: 7_000 }),
  kind: fc.constantFrom('frozen', 'killed'),
}) as fc.Arbitrary<Outage>;
const RUN = fc.record({
  fates: fc.array(FATE, { minLength: 10, maxLength: 60 }),
  outages: fc.array(OUTAGE, { maxLength: 5 }),
});

function simulate(
  fates: readonly Fate[],
  outages: readonly Outage[],
  mutation: Mutation,
): Simulation {
  const simulation = new Simulation();
  const daemons = [0, 1, 2].map((place) => new Daemon(simulation, place, mutation));
  let drawn = 0;
  const fate = (): Fate => {
    drawn += 1;
    return fates[drawn % fates.length] ?? { delayMs: 50, lateMs: 50, kind: 'answered' };
  };
  const endMs = WINDOWS * WINDOW_MS + DUE_MS;
  while (simulation.nowMs < endMs) {
    simulation.advance();
    for (const [index, daemon] of daemons.entries()) {
      const here = outages.filter((outage) => outage.daemon === index);
      const isNow = ({ atMs, forMs }: Outage) =>
        atMs <= simulation.nowMs && simulation.nowMs < atMs + forMs;
      if (here.some((outage) => outage.kind === 'killed' && isNow(outage))) daemon.kill();
      if (here.some(isNow)) continue;
      daemon.step(fate, (window) => {
        for (const other of daemons) if (other !== daemon) other.handleReported(window);
      });
    }
  }
  return simulation;
}

/** Describes the first violation in a run; undefined if there is none. */
function violationOf(simulation: Simulation): string | undefined {
  const countsOf = new Map<number, string>();
  for (const { window, counts } of simulation.accepted) {
    const known = countsOf.get(window) ?? counts;
    countsOf.set(window, known);
    if (known !== counts) return `window ${window} was reported with counts ${known} and ${counts}`;
  }
  const holderOf = new Map<number, string>();
  for (const { fence, holder } of simulation.sent) {
    const known = holderOf.get(fence) ?? holder;
    holderOf.set(fence, known);
    if (known !== holder) return `fence ${fence} was used by ${known} and ${holder}`;
  }
  for (const [index, first] of simulation.sent.entries()) {
    const later = simulation.sent.slice(index + 1);
    const other = later.findIndex(({ holder }) => holder !== first.holder);
    const back = later.slice(Math.max(0, other)).find(({ holder }) => holder === first.holder);
    const isTurn = other >= 0 && back !== undefined && back.sentMs - first.sentMs < LEASE_MS;
    if (isTurn) return `${first.holder} and another holder alternated within the lease`;
  }
  return undefined;
}

test('under any failures, a window has one set of counts, a fence one holder, and holders do not alternate', () => {
  fc.assert(
    fc.property(RUN, ({ fates, outages }) => {
      assert.equal(violationOf(simulate(fates, outages, {})), undefined);
    }),
    { seed: 26, numRuns: 400 },
  );
});

for (const [name, mutation] of [
  ['the record is written regardless of its version', { forgetsRecord: true }],
  ['the fence stays the same', { keepsFence: true }],
  ['an unchanged record is taken over at once', { takesOverAtOnce: true }],
] as const) {
  test(`the checks detect a violation when ${name}`, () => {
    const found = fc.check(
      fc.property(RUN, ({ fates, outages }) => {
        return violationOf(simulate(fates, outages, mutation)) === undefined;
      }),
      { seed: 26, numRuns: 2_000, endOnFailure: true },
    );
    assert.ok(found.failed, 'no violation was found without this protection');
  });
}

const NO_FAILURES: readonly Fate[] = [{ delayMs: 100, lateMs: 100, kind: 'answered' }];

function reportedInTime(simulation: Simulation): readonly number[] {
  const inTime = simulation.accepted.filter(
    ({ window, atMs }) => atMs <= (window + 1) * WINDOW_MS + DUE_MS,
  );
  return [...new Set(inTime.map(({ window }) => window))].sort((left, right) => left - right);
}

test('without failures, one daemon reports each window once, with one write of the record each', () => {
  const simulation = simulate(NO_FAILURES, [], {});
  assert.deepEqual(
    reportedInTime(simulation).slice(0, WINDOWS),
    Array.from({ length: WINDOWS }, (_, window) => window),
  );
  assert.equal(new Set(simulation.sent.map(({ holder }) => holder)).size, 1);
  assert.equal(simulation.version, simulation.accepted.length);
});

test('when the holder dies and does not restart, another daemon reports the pending window before its deadline', () => {
  const death = { daemon: 0, atMs: 17_000, forMs: 100_000, kind: 'killed' } as const;
  const simulation = simulate(NO_FAILURES, [death], {});
  assert.deepEqual(
    reportedInTime(simulation).slice(0, WINDOWS),
    Array.from({ length: WINDOWS }, (_, window) => window),
  );
  assert.ok(simulation.sent.some(({ holder }) => holder === 'daemon-1'));
});
