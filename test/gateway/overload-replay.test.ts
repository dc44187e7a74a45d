/**
 * Replays a heavy load through the decisions of a fleet of daemons that know each other's load with a delay. Guards
 * against a collapse of goodput when demand exceeds what the engines can read, or when a third of the engines is
 * lost: without the waiting room at the daemons, the engines' queues grow until many requests are late.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetrySchedule, WaitQueue } from '../../src/core/admission/index.js';
import {
  EngineLoad,
  type EngineWork,
  type ExpectedRead,
  PeerLoads,
  type PlaceInput,
  placeRequest,
  promptPriority,
  RankShares,
  refusalOnArrival,
  UrgentSlack,
} from '../../src/core/gateway/index.js';
import { VirtualClock } from '../../src/lab/simulation/virtual-clock.js';
import { Random } from '../../src/lab/workload/random.js';

const SEEDS = [11, 14, 16];
const ENGINES = 12;
const DAEMONS = 40;
const SUMS_EVERY_MS = 100;
const WARM_UP_MS = 4_000;
const END_MS = 18_000;
const CALLER_TIMEOUT_MS = 5_000;
/** Goodput after the loss is measured from one second after it. */
const LOST_AT_MS = 7_000;
const AFTER_LOSS_FROM_MS = 8_000;

interface RequestKind {
  readonly rank: number;
  readonly readMs: number;
  readonly targetMs: number;
}

const REQUEST_KINDS: readonly RequestKind[] = [
  { rank: 0, readMs: 30, targetMs: 410 },
  { rank: 1, readMs: 120, targetMs: 520 },
  { rank: 2, readMs: 200, targetMs: 1_230 },
];
const MEAN_READ_MS = REQUEST_KINDS.reduce(
  (sum, { readMs }) => sum + readMs / REQUEST_KINDS.length,
  0,
);

interface Job {
  readonly id: string;
  readonly kind: RequestKind;
  readonly arrivedAtMs: number;
  readonly isRetry: boolean;
}

interface Queued {
  readonly job: Job;
  readonly priority: number;
  readonly onRead: () => void;
}

/** An engine that reads one prompt after the other, by priority. */
class FakeEngine {
  readonly #queue: Queued[] = [];
  #isBusy = false;
  isLost = false;

  constructor(readonly clock: VirtualClock) {}

  send(queued: Queued): void {
    this.#queue.push(queued);
    this.#next();
  }

  #next(): void {
    if (this.#isBusy || this.isLost) return;
    this.#queue.sort((left, right) => left.priority - right.priority);
    const next = this.#queue.shift();
    if (next === undefined) return;
    // The caller has left: the engine is notified and continues with the next prompt.
    const hasCallerLeft = this.clock.now > next.job.arrivedAtMs + CALLER_TIMEOUT_MS;
    this.#isBusy = true;
    this.clock.scheduleAt(this.clock.now + (hasCallerLeft ? 0 : next.job.kind.readMs), () => {
      this.#isBusy = false;
      if (!this.isLost && !hasCallerLeft) next.onRead();
      this.#next();
    });
  }
}

/** One daemon: its own load, the received load of the others, and its held requests. */
class FakeDaemon {
  readonly loads: readonly EngineLoad[];
  readonly peers = new PeerLoads();
  readonly shares = new RankShares();
  readonly slacks = new UrgentSlack();
  readonly room = new WaitQueue();
  readonly retries = new RetrySchedule();
  readonly waiting = new Map<string, Job>();

  constructor(usesWaitingRoom: boolean) {
    this.loads = Array.from({ length: ENGINES }, () => new EngineLoad(usesWaitingRoom));
  }
}

/** The result of a replay. */
interface Replay {
  /** Read time of the requests answered in time, by the second of the answer. */
  readonly goodMsBySecond: readonly number[];
  /** By rank, the share of first attempts that were answered in time. */
  readonly inTimeShares: readonly number[];
}

/** Replays a load on a fleet; `load` is the demand relative to what the engines can read. */
function replay(
  load: number,
  usesWaitingRoom: boolean,
  seed: number,
  lostAtMs = Number.POSITIVE_INFINITY,
): Replay {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const engines = Array.from({ length: ENGINES }, () => new FakeEngine(clock));
  const daemons = Array.from({ length: DAEMONS }, () => new FakeDaemon(usesWaitingRoom));
  const goodMsBySecond = new Array<number>((END_MS + CALLER_TIMEOUT_MS) / 1_000 + 1).fill(0);
  const arrived = [0, 0, 0];
  const inTime = [0, 0, 0];
  let count = 0;
  let sequence = 0;

  const bestRead = (daemon: FakeDaemon, job: Job): { engine: number; input: PlaceInput } => {
    const available = [...engines.keys()].filter((index) => engines[index]?.isLost !== true);
    // The better of two random engines: daemons with the same delayed sums must not all choose the same one.
    const [firstPick = 0, secondPick = 0] = [random.unit(), random.unit()].map(
      (unit) => available[Math.floor(unit * available.length)],
    );
    const waitAt = (engine: number) => {
      const own = daemon.loads[engine];
      const ownMs = (own?.pendingMs('in-time', clock.now) ?? 0) + (own?.excessMs(clock.now) ?? 0);
      const knownMs = ownMs + daemon.peers.waitMs(`e${engine}`, 'in-time', clock.now);
      return knownMs * (usesWaitingRoom ? daemon.shares.waitFactor(job.kind.rank) : 1);
    };
    const engine = waitAt(secondPick) < waitAt(firstPick) ? secondPick : firstPick;
    const waitMs = waitAt(engine);
    const { readMs, targetMs, rank } = job.kind;
    const leftMs = 0.9 * targetMs - (clock.now - job.arrivedAtMs);
    const expectedMs = waitMs + readMs;
    const urgency = expectedMs <= leftMs ? 'in-time' : 'late';
    const input: PlaceInput = {
      plan: { expectedMs, read: { urgency, readMs, waitMs } },
      remainingMs: job.arrivedAtMs + CALLER_TIMEOUT_MS - clock.now,
      latencyBudgetMs: 0.9 * targetMs,
      latencyBudgetLeftMs: leftMs,
      urgentSlackMs: daemon.slacks.minSlackMs(rank, clock.now),
      isContended: daemon.room.waitingInLane(String(rank)) > 0,
      isLearnt: true,
      mayHaveRun: false,
    };
    return { engine, input };
  };

  const send = (daemon: FakeDaemon, job: Job, engine: number, expected: ExpectedRead) => {
    const own = daemon.loads[engine];
    const read = own?.begin(expected, clock.now);
    const { rank, readMs, targetMs } = job.kind;
    daemon.shares.recordRequest(rank, readMs, clock.now);
    const readShareOfTarget = readMs / targetMs;
    const priority = promptPriority({ rank, urgency: expected.urgency, readShareOfTarget });
    const onRead = () => {
      if (read !== undefined) own?.finish(read, clock.now);
      if (clock.now - job.arrivedAtMs <= targetMs) countInTime(job);
      admitWaiting(daemon);
    };
    engines[engine]?.send({ job, priority, onRead });
  };

  /** Counts an answer within the target, measured from the start of this attempt. */
  const countInTime = ({ kind, arrivedAtMs, isRetry }: Job) => {
    const second = Math.floor(clock.now / 1_000);
    goodMsBySecond[second] = (goodMsBySecond[second] ?? 0) + kind.readMs;
    if (arrivedAtMs < WARM_UP_MS || isRetry) return;
    inTime[kind.rank] = (inTime[kind.rank] ?? 0) + 1;
  };

  const refuse = (daemon: FakeDaemon, job: Job, roomInMs: number) => {
    if (job.isRetry) return;
    const retryAfterMs = usesWaitingRoom
      ? daemon.retries.scheduleRetryMs({
          nowMs: clock.now,
          roomInMs,
          spacingMs: (job.kind.readMs * DAEMONS) / ENGINES,
          maxMs: CALLER_TIMEOUT_MS - (clock.now - job.arrivedAtMs),
          entropy: random.unit(),
        })
      : roomInMs;
    const waitMs = Math.min(retryAfterMs, CALLER_TIMEOUT_MS / 3);
    clock.scheduleAt(clock.now + waitMs, () =>
      arrive({ ...job, arrivedAtMs: clock.now, isRetry: true }),
    );
  };

  const admitWaiting = (daemon: FakeDaemon) => {
    for (const { description, fault } of daemon.room.expired(clock.now)) {
      const job = daemon.waiting.get(description.id);
      daemon.waiting.delete(description.id);
      if (job !== undefined) refuse(daemon, job, fault.retryAfterMs ?? 0);
    }
    const isWanted = (id: string) => {
      const job = daemon.waiting.get(id);
      return job === undefined || placeRequest(bestRead(daemon, job).input).kind !== 'wait';
    };
    for (;;) {
      const next = daemon.room.next(clock.now, isWanted);
      const job = next === null ? undefined : daemon.waiting.get(next.id);
      if (next === null || job === undefined) return;
      daemon.waiting.delete(next.id);
      const { engine, input } = bestRead(daemon, job);
      const placement = placeRequest(input);
      if (placement.kind === 'refuse') refuse(daemon, job, placement.roomInMs);
      else send(daemon, job, engine, input.plan.read);
    }
  };

  const arrive = (job: Job) => {
    const daemon = daemons[random.integer(0, DAEMONS - 1)];
    if (daemon === undefined) return;
    const { engine, input } = bestRead(daemon, job);
    if (!usesWaitingRoom) {
      const refusal = refusalOnArrival(input);
      if (refusal === undefined) send(daemon, job, engine, input.plan.read);
      else refuse(daemon, job, refusal.retryAfterMs);
      return;
    }
    const { rank, readMs, targetMs } = job.kind;
    daemon.slacks.recordRequest(rank, 0.9 * targetMs - readMs, clock.now);
    const placement = placeRequest(input);
    if (placement.kind === 'refuse') return refuse(daemon, job, placement.roomInMs);
    if (placement.slackMs === undefined) return send(daemon, job, engine, input.plan.read);
    const place = {
      id: job.id,
      lane: String(rank),
      tenant: 't',
      rank,
      canMeetDeadline: true,
      costMs: readMs,
      arrivedAtMs: job.arrivedAtMs,
      latestStartMs: clock.now + placement.slackMs,
    };
    const hasCapacity = placement.kind === 'go';
    const answer = daemon.room.offer(place, { now: clock.now, hasCapacity });
    switch (answer.kind) {
      case 'dispatch-now':
        return send(daemon, job, engine, input.plan.read);
      case 'refused':
        return refuse(daemon, job, answer.fault.retryAfterMs ?? 0);
      case 'queued':
        daemon.waiting.set(job.id, job);
    }
  };

  const workOf = ({ loads }: FakeDaemon): EngineWork[] =>
    loads.map((own, engine) => ({
      engineId: `e${engine}`,
      pendingMs: own.pendingMs('in-time', clock.now),
      lateMs: own.pendingMs('late', clock.now),
      running: 0,
    }));

  /** A relay sends the sums over all daemons to every daemon. */
  const broadcastSums = () => {
    sequence += 1;
    const works = daemons.map(workOf);
    const sum = (engine: number, field: 'pendingMs' | 'lateMs') =>
      works.reduce((total, work) => total + (work[engine]?.[field] ?? 0), 0);
    const work = engines.map((_engine, index) => ({
      engineId: `e${index}`,
      pendingMs: sum(index, 'pendingMs'),
      lateMs: sum(index, 'lateMs'),
      running: 0,
    }));
    const sums = { relay: 'd0', incarnation: 1, sequence, isComplete: true, work };
    const message = { ...sums, reads: [], reach: [], demand: [] };
    for (const [index, daemon] of daemons.entries()) {
      daemon.peers.applySums(message, works[index] ?? [], clock.now);
      admitWaiting(daemon);
    }
    clock.scheduleAt(clock.now + SUMS_EVERY_MS, broadcastSums);
  };

  const next = () => {
    const kind = REQUEST_KINDS[count % REQUEST_KINDS.length];
    count += 1;
    if (kind !== undefined && clock.now < END_MS) {
      if (clock.now >= WARM_UP_MS) arrived[kind.rank] = (arrived[kind.rank] ?? 0) + 1;
      arrive({ id: `j${count}`, kind, arrivedAtMs: clock.now, isRetry: false });
    }
    clock.scheduleAt(clock.now + random.exponential((load * ENGINES) / MEAN_READ_MS), next);
  };
  clock.scheduleAt(0, broadcastSums);
  clock.scheduleAt(0, next);
  clock.scheduleAt(lostAtMs, () => {
    for (const engine of engines.slice(0, ENGINES / 3)) engine.isLost = true;
  });
  clock.runUntil(END_MS + CALLER_TIMEOUT_MS);
  return { goodMsBySecond, inTimeShares: arrived.map((all, rank) => (inTime[rank] ?? 0) / all) };
}

/** Work answered in time, as the number of engines that it kept busy. */
function goodput({ goodMsBySecond }: Replay, fromMs = WARM_UP_MS): number {
  const seconds = goodMsBySecond.slice(fromMs / 1_000, END_MS / 1_000);
  return seconds.reduce((sum, goodMs) => sum + goodMs, 0) / (END_MS - fromMs);
}

test('goodput stays flat at 1.5 and 2 times the engine capacity; without the waiting room it falls', () => {
  for (const seed of SEEDS) {
    const full = goodput(replay(1, true, seed));
    for (const load of [1.5, 2]) {
      const overloaded = goodput(replay(load, true, seed));
      assert.ok(
        overloaded >= 0.9 * full,
        `goodput ${overloaded} at load ${load}, ${full} at load 1, seed ${seed}`,
      );
      const withoutRoom = goodput(replay(load, false, seed));
      assert.ok(
        withoutRoom < 0.6 * full,
        `goodput ${withoutRoom} at load ${load} without a waiting room, seed ${seed}`,
      );
    }
  }
});

test('one second after the loss of a third of the engines the others are used to at least nine tenths', () => {
  for (const seed of SEEDS) {
    const expectedGoodput = (2 / 3) * goodput(replay(1, true, seed));
    const after = goodput(replay(1, true, seed, LOST_AT_MS), AFTER_LOSS_FROM_MS);
    assert.ok(
      after >= 0.9 * expectedGoodput,
      `goodput ${after}, expected ${expectedGoodput}, seed ${seed}`,
    );
    const withoutRoom = goodput(replay(1, false, seed, LOST_AT_MS), AFTER_LOSS_FROM_MS);
    assert.ok(
      withoutRoom < 0.9 * expectedGoodput,
      `goodput ${withoutRoom} of ${expectedGoodput} without a waiting room, seed ${seed}`,
    );
  }
});

test('under overload no rank is served better than a more urgent one, and the most urgent is still served', () => {
  for (const seed of SEEDS) {
    for (const load of [1, 1.5, 2]) {
      const [urgent = 0, middle = 0, least = 0] = replay(load, true, seed).inTimeShares;
      assert.ok(urgent >= 0.9, `in time: ${urgent} at load ${load}, seed ${seed}`);
      assert.ok(
        urgent >= middle - 0.05 && middle >= least - 0.05,
        `less urgent ranks in time: ${middle}, ${least} at load ${load}`,
      );
    }
  }
});

test('below the engine capacity nearly every request is answered in time with the waiting room', () => {
  for (const seed of SEEDS) {
    const { inTimeShares } = replay(0.6, true, seed);
    assert.ok(
      inTimeShares.every((share) => share >= 0.98),
      `in time by rank: ${inTimeShares}, seed ${seed}`,
    );
  }
});
