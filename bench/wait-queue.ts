/** Benchmark of placing a request (go, wait or refuse) while thousands of requests wait. */
import { RetrySchedule, WaitQueue, type WaitQueueEntry } from '../src/core/admission/index.js';
import {
  type PlaceInput,
  type Placement,
  placeRequest,
  RankShares,
  UrgentSlack,
} from '../src/core/gateway/index.js';
import { type OperationTimes, timeOperations } from './measure.js';

const TENANTS = 300;
const BACKLOG = 5_000;
const RANKS = 3;
const OPERATIONS = 50_000;
const READ_MS = 90;
const TARGET_MS = 500;

/** One line of the result. */
export interface RoomTimes extends OperationTimes {
  readonly case: string;
  readonly tenants: number;
}

/** Measures each outcome of the decision, with a backlog of waiting requests. */
export function benchWaitingRoom(): RoomTimes[] {
  return [
    measure('go, and the next goes', 50),
    measure('wait, and the next goes', 200),
    measure('refuse', 900),
  ];
}

/** @param queueMs the wait at the best engine, which determines the outcome of the decision */
function measure(name: string, queueMs: number): RoomTimes {
  const room = new WaitQueue({ maxWaitingPerClass: 2 * BACKLOG });
  const retries = new RetrySchedule();
  const slacks = new UrgentSlack();
  const shares = new RankShares();
  for (let turn = 0; turn < BACKLOG; turn += 1) {
    room.offer(place(-1 - turn, 1e9), { now: 0, hasCapacity: false });
  }
  const times = timeOperations(OPERATIONS, (turn) => {
    const rank = turn % RANKS;
    slacks.recordRequest(rank, TARGET_MS - READ_MS, turn);
    const waitMs = queueMs * shares.waitFactor(rank);
    const urgentSlackMs = slacks.minSlackMs(rank, turn);
    const placement = placeRequest(input(waitMs, urgentSlackMs));
    carryOut(placement, turn, room, retries, shares);
  });
  return { case: `${name}, with ${BACKLOG} waiting`, tenants: TENANTS, ...times };
}

function carryOut(
  placement: Placement,
  turn: number,
  room: WaitQueue,
  retries: RetrySchedule,
  shares: RankShares,
): void {
  if (placement.kind === 'refuse') {
    const { roomInMs } = placement;
    retries.scheduleRetryMs({ nowMs: turn, roomInMs, spacingMs: 20, maxMs: 5_000, entropy: 0.5 });
    return;
  }
  const hasCapacity = placement.kind === 'go';
  room.offer(place(turn, 1e9 + turn), { now: turn, hasCapacity });
  room.next(turn, () => true);
  shares.recordRequest(turn % RANKS, READ_MS, turn);
}

function input(queueMs: number, urgentSlackMs: number): PlaceInput {
  const expectedMs = queueMs + READ_MS;
  const urgency = expectedMs <= TARGET_MS ? 'in-time' : 'late';
  return {
    plan: { expectedMs, read: { urgency, readMs: READ_MS, waitMs: queueMs } },
    remainingMs: 5_000,
    latencyBudgetMs: TARGET_MS,
    latencyBudgetLeftMs: TARGET_MS,
    urgentSlackMs,
    isContended: true,
    isLearnt: true,
    mayHaveRun: false,
  };
}

function place(turn: number, latestStartMs: number): WaitQueueEntry {
  const rank = Math.abs(turn) % RANKS;
  return {
    id: `r${turn}`,
    lane: `reader/${rank}`,
    tenant: `t${Math.abs(turn * 7_919) % TENANTS}`,
    rank,
    canMeetDeadline: true,
    costMs: READ_MS,
    arrivedAtMs: turn,
    latestStartMs,
  };
}
