/**
 * The usage duty over many daemons, a store and a platform that fail: whatever is killed, frozen, lost or late, a
 * window is reported with one set of counts, a fencing token has one holder, and holders do not take turns.
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
const DAYS_WINDOWS = 8;
const SETTLE_MS = 1_000;
const FIRST_TURN_MS = 3_000;
const TURN_GAP_MS = 600;

/** What happens to one call, or to a daemon. */
interface Fate {
  readonly delayMs: number;
  /** The call is carried out this much after it was answered, or given up. */
  readonly lateMs: number;
  readonly kind: 'answered' | 'refused' | 'answer-lost' | 'call-lost';
}

interface Trouble {
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

/** Ways of doing without a protection, to show that the checks see what it is for. */
interface Mutation {
  readonly forgetsRecord?: boolean;
  readonly keepsFence?: boolean;
  readonly takesOverAtOnce?: boolean;
}

class World {
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
  readonly #world: World;
  readonly #place: number;
  readonly #mutation: Mutation;
  #incarnation = 1;
  #duty: UsageDuty;
  #collected: CollectedCounts | undefined;
  #isBusy = false;
  #restMs = 0;
  #reportedByOther = -1;

  constructor(world: World, place: number, mutation: Mutation) {
    this.#world = world;
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

  hear(window: number): void {
    this.#reportedByOther = Math.max(this.#reportedByOther, window);
  }

  step(fate: () => Fate, tellOthers: (window: number) => void): void {
    const { nowMs } = this.#world;
    if (this.#isBusy || nowMs < this.#restMs) return;
    const waitMs = this.#duty.isHolder ? SETTLE_MS : FIRST_TURN_MS + TURN_GAP_MS * this.#place;
    const moment = {
      nowMs,
      dueWindow: Math.floor((nowMs - waitMs) / WINDOW_MS) - 1,
      oldestWindow: Math.max(0, Math.floor((nowMs - DUE_MS) / WINDOW_MS)),
      reportedByOther: this.#reportedByOther,
    };
    if (moment.dueWindow < 0) return;
    this.#perform(this.#duty.next(moment, this.#collected), fate(), tellOthers);
  }

  #perform(action: UsageAction, fate: Fate, tellOthers: (window: number) => void): void {
    switch (action.kind) {
      case 'none':
        return;
      case 'collect':
        // Another count each time: whoever counts again counts something else.
        this.#collected = { window: action.window, counts: { tenant: this.#world.nowMs } };
        return;
      case 'read':
        this.#callRecord(fate, () => false);
        return;
      case 'write': {
        const before = this.#world.record;
        const fence = this.#mutation.keepsFence === true ? 1 : action.record.fence;
        const record = { ...action.record, fence };
        this.#callRecord(fate, () => {
          const isFree = this.#mutation.forgetsRecord === true && before === this.#world.record;
          const expected = isFree ? this.#world.version : action.expectedVersion;
          return this.#world.write(record, expected);
        });
        return;
      }
      case 'report':
        this.#report(action.record, fate, tellOthers);
    }
  }

  #callRecord(fate: Fate, carryOut: () => boolean): void {
    const { nowMs: sentMs } = this.#world;
    const life = this.#incarnation;
    this.#isBusy = true;
    const done = { isOwnWrite: false };
    if (fate.kind === 'answered' || fate.kind === 'answer-lost') {
      const whenMs = fate.kind === 'answered' ? fate.delayMs : fate.lateMs;
      this.#world.at(whenMs, () => {
        done.isOwnWrite = carryOut();
      });
    }
    this.#world.at(fate.delayMs, () => {
      if (this.#incarnation !== life) return;
      this.#isBusy = false;
      const { nowMs, record, version } = this.#world;
      if (fate.kind === 'answered') {
        const { isOwnWrite } = done;
        const seen = { kind: 'seen', record, version, era: 0, isOwnWrite } as const;
        const hurries = this.#mutation.takesOverAtOnce === true && !isOwnWrite;
        this.#duty.applyRecord(seen, sentMs, hurries ? nowMs - LEASE_MS : nowMs);
        return;
      }
      this.#restMs = nowMs + 250;
      const kind = fate.kind === 'refused' ? 'refused' : 'lost';
      this.#duty.applyRecord({ kind }, sentMs, nowMs);
    });
  }

  #report(record: UsageRecord, fate: Fate, tellOthers: (window: number) => void): void {
    const life = this.#incarnation;
    const { window, fence } = record;
    const counts = JSON.stringify(record.counts);
    const sent = { holder: this.name, fence, window, counts, sentMs: this.#world.nowMs };
    this.#world.sent.push(sent);
    this.#isBusy = true;
    const done = { isTaken: false };
    if (fate.kind === 'answered' || fate.kind === 'answer-lost') {
      const whenMs = fate.kind === 'answered' ? fate.delayMs : fate.lateMs;
      this.#world.at(whenMs, () => {
        done.isTaken = this.#world.report(sent);
      });
    }
    this.#world.at(fate.delayMs, () => {
      if (this.#incarnation !== life) return;
      this.#isBusy = false;
      if (fate.kind !== 'answered') {
        this.#restMs = this.#world.nowMs + 250;
        this.#duty.recordReportOutcome('unknown', record);
        return;
      }
      this.#duty.recordReportOutcome(done.isTaken ? 'accepted' : 'deposed', record);
      if (done.isTaken) tellOthers(window);
    });
  }
}

const FATE = fc.record({
  delayMs: fc.integer({ min: STEP_MS, max: 1_500 }),
  lateMs: fc.integer({ min: STEP_MS, max: 6_000 }),
  kind: fc.constantFrom('answered', 'answered', 'answered', 'refused', 'answer-lost', 'call-lost'),
}) as fc.Arbitrary<Fate>;
const TROUBLE = fc.record({
  daemon: fc.integer({ min: 0, max: 2 }),
  atMs: fc.integer({ min: 0, max: DAYS_WINDOWS * WINDOW_MS }),
  forMs: fc.integer({ min: 500, max: 7_000 }),
  kind: fc.constantFrom('frozen', 'killed'),
}) as fc.Arbitrary<Trouble>;
const DAY = fc.record({
  fates: fc.array(FATE, { minLength: 10, maxLength: 60 }),
  troubles: fc.array(TROUBLE, { maxLength: 5 }),
});

function play(fates: readonly Fate[], troubles: readonly Trouble[], mutation: Mutation): World {
  const world = new World();
  const daemons = [0, 1, 2].map((place) => new Daemon(world, place, mutation));
  let drawn = 0;
  const fate = (): Fate => {
    drawn += 1;
    return fates[drawn % fates.length] ?? { delayMs: 50, lateMs: 50, kind: 'answered' };
  };
  const endMs = DAYS_WINDOWS * WINDOW_MS + DUE_MS;
  while (world.nowMs < endMs) {
    world.advance();
    for (const [index, daemon] of daemons.entries()) {
      const here = troubles.filter((trouble) => trouble.daemon === index);
      const isNow = ({ atMs, forMs }: Trouble) => atMs <= world.nowMs && world.nowMs < atMs + forMs;
      if (here.some((trouble) => trouble.kind === 'killed' && isNow(trouble))) daemon.kill();
      if (here.some(isNow)) continue;
      daemon.step(fate, (window) => {
        for (const other of daemons) if (other !== daemon) other.hear(window);
      });
    }
  }
  return world;
}

/** What is wrong with a day; undefined where nothing is. */
function violationOf(world: World): string | undefined {
  const countsOf = new Map<number, string>();
  for (const { window, counts } of world.accepted) {
    const known = countsOf.get(window) ?? counts;
    countsOf.set(window, known);
    if (known !== counts) return `window ${window} was reported with ${known} and ${counts}`;
  }
  const holderOf = new Map<number, string>();
  for (const { fence, holder } of world.sent) {
    const known = holderOf.get(fence) ?? holder;
    holderOf.set(fence, known);
    if (known !== holder) return `fence ${fence} was used by ${known} and ${holder}`;
  }
  for (const [index, first] of world.sent.entries()) {
    const later = world.sent.slice(index + 1);
    const other = later.findIndex(({ holder }) => holder !== first.holder);
    const back = later.slice(Math.max(0, other)).find(({ holder }) => holder === first.holder);
    const isTurn = other >= 0 && back !== undefined && back.sentMs - first.sentMs < LEASE_MS;
    if (isTurn) return `${first.holder} and another took turns within the lease`;
  }
  return undefined;
}

test('whatever fails, a window has one set of counts, a fence one holder, and nobody takes turns', () => {
  fc.assert(
    fc.property(DAY, ({ fates, troubles }) => {
      assert.equal(violationOf(play(fates, troubles, {})), undefined);
    }),
    { seed: 26, numRuns: 400 },
  );
});

for (const [name, mutation] of [
  ['the record is written whatever its version', { forgetsRecord: true }],
  ['the fence stays the same', { keepsFence: true }],
  ['a standing record is taken over at once', { takesOverAtOnce: true }],
] as const) {
  test(`the checks find it when ${name}`, () => {
    const found = fc.check(
      fc.property(DAY, ({ fates, troubles }) => {
        return violationOf(play(fates, troubles, mutation)) === undefined;
      }),
      { seed: 26, numRuns: 2_000, endOnFailure: true },
    );
    assert.ok(found.failed, 'no day breaks a promise without this protection');
  });
}

const CALM: readonly Fate[] = [{ delayMs: 100, lateMs: 100, kind: 'answered' }];

function reportedInTime(world: World): readonly number[] {
  const inTime = world.accepted.filter(
    ({ window, atMs }) => atMs <= (window + 1) * WINDOW_MS + DUE_MS,
  );
  return [...new Set(inTime.map(({ window }) => window))].sort((left, right) => left - right);
}

test('on a calm day one daemon reports each window once, with one write each', () => {
  const world = play(CALM, [], {});
  assert.deepEqual(
    reportedInTime(world).slice(0, DAYS_WINDOWS),
    Array.from({ length: DAYS_WINDOWS }, (_, window) => window),
  );
  assert.equal(new Set(world.sent.map(({ holder }) => holder)).size, 1);
  assert.equal(world.version, world.accepted.length);
});

test('when the holder dies for good another reports the window that is open, in time', () => {
  const death = { daemon: 0, atMs: 17_000, forMs: 100_000, kind: 'killed' } as const;
  const world = play(CALM, [death], {});
  assert.deepEqual(
    reportedInTime(world).slice(0, DAYS_WINDOWS),
    Array.from({ length: DAYS_WINDOWS }, (_, window) => window),
  );
  assert.ok(world.sent.some(({ holder }) => holder === 'daemon-1'));
});
