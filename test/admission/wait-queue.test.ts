/** Order, shares and ends in the waiting room. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RetrySchedule, WaitQueue, type WaitQueueEntry } from '../../src/core/admission/index.js';
import { Random } from '../../src/lab/workload/random.js';

let entered = 0;

function place(fields: Partial<WaitQueueEntry> = {}): WaitQueueEntry {
  entered += 1;
  return {
    id: `r${entered}`,
    lane: 'reader/read',
    tenant: 'tenant',
    rank: 1,
    canMeetDeadline: true,
    costMs: 100,
    arrivedAtMs: entered,
    latestStartMs: 1e9,
    ...fields,
  };
}

const full = { now: 0, hasCapacity: false };
const always = () => true;

/** All that wait, in the order in which they go. */
function drain(room: WaitQueue, now = 0): string[] {
  const ids: string[] = [];
  for (;;) {
    const next = room.next(now, always);
    if (next === null) return ids;
    ids.push(next.id);
  }
}

test('the rules bind in their order: rank, in time, tenants in turn, arrival', () => {
  const room = new WaitQueue();
  const lessUrgent = place({ rank: 2 });
  const late = place({ canMeetDeadline: false });
  const first = place({ tenant: 'large' });
  const second = place({ tenant: 'large' });
  const small = place({ tenant: 'small' });
  const urgentButLate = place({ rank: 0, canMeetDeadline: false });
  for (const one of [lessUrgent, late, first, second, small, urgentButLate]) room.offer(one, full);
  const expected = [urgentButLate, first, small, second, late, lessUrgent].map(({ id }) => id);
  assert.deepEqual(drain(room), expected);
});

test('over any arrivals nothing goes before what is more urgent', () => {
  const arrivals = fc.array(fc.record({ rank: fc.nat(4), tenant: fc.nat(3) }), { maxLength: 60 });
  fc.assert(
    fc.property(arrivals, (all) => {
      const room = new WaitQueue();
      const ranks = new Map<string, number>();
      for (const { rank, tenant } of all) {
        const one = place({ rank, tenant: `t${tenant}`, lane: `reader/${rank % 2}` });
        ranks.set(one.id, rank);
        room.offer(one, full);
      }
      const order = drain(room).map((id) => ranks.get(id) ?? -1);
      assert.deepEqual(
        order,
        [...order].sort((left, right) => left - right),
      );
    }),
    { seed: 6, numRuns: 100 },
  );
});

test('a kind for which there is no room keeps no other waiting', () => {
  const room = new WaitQueue();
  const long = place({ rank: 0, lane: 'reader/long' });
  const short = place({ rank: 1, lane: 'reader/short' });
  room.offer(long, full);
  room.offer(short, full);
  assert.equal(room.next(1, (id) => id !== long.id)?.id, short.id);
  assert.equal(room.waitingInLane('reader/long'), 1);
});

test('a caller that leaves frees its place, and what waited too long is told when to come back', () => {
  const room = new WaitQueue();
  const leaving = place();
  const expiring = place({ latestStartMs: 50 });
  room.offer(leaving, full);
  room.offer(expiring, full);
  assert.equal(room.nextStartDeadline, 50);
  room.remove(leaving, 10);
  room.remove(leaving, 11);
  assert.equal(room.waiting, 1);
  const [expired] = room.expired(50);
  assert.equal(expired?.description.id, expiring.id);
  assert.ok((expired?.fault.retryAfterMs ?? 0) > 0);
  assert.equal(room.waiting, 0);
  assert.equal(room.waitingInLane('reader/read'), 0);
});

/** Serves a room for 20 s: one place in 10 ms, small tenants at half of that, and a large one's burst. */
function servedOfSmall(burstFactor: number): number {
  const random = new Random(3);
  const room = new WaitQueue();
  const served = new Set<string>();
  const small = new Set<string>();
  const enter = (tenant: string, now: number) => {
    const one = place({ tenant, arrivedAtMs: now, latestStartMs: now + 300 });
    if (tenant !== 'large') small.add(one.id);
    const answer = room.offer(one, { now, hasCapacity: false });
    return answer.kind === 'queued';
  };
  for (let now = 0; now < 20_000; now += 10) {
    for (let tenant = 0; tenant < 10; tenant += 1) {
      if (random.unit() < 0.05) enter(`t${tenant}`, now);
    }
    const isBurst = now >= 5_000 && now < 15_000;
    const arrivals = isBurst ? burstFactor : 0.2;
    for (let left = arrivals; left > 0; left -= 1) if (random.unit() < left) enter('large', now);
    room.expired(now);
    const next = room.next(now, always);
    if (next !== null && small.has(next.id)) served.add(next.id);
  }
  return served.size / small.size;
}

test("a large tenant's burst of ten times the room leaves the others what they had", () => {
  const before = servedOfSmall(0.2);
  const beside = servedOfSmall(10);
  assert.ok(before >= 0.95, `${before} without the burst`);
  assert.ok(beside >= 0.95 * before, `${beside} beside the burst, ${before} without`);
});

test('no caller is told a time at which it would be gone', () => {
  const line = new RetrySchedule();
  const told = Array.from({ length: 100 }, () =>
    line.scheduleRetryMs({ nowMs: 0, roomInMs: 300, spacingMs: 200, maxMs: 2_000, entropy: 0 }),
  );
  assert.ok(told.every((waitMs) => waitMs <= 2_000));
  assert.ok(new Set(told).size >= 8);
});

test('those refused together are told to come back one after the other, when there is room', () => {
  const random = new Random(5);
  const line = new RetrySchedule();
  const told = Array.from({ length: 20 }, () =>
    line.scheduleRetryMs({
      nowMs: 0,
      roomInMs: 300,
      spacingMs: 50,
      maxMs: 5_000,
      entropy: random.unit(),
    }),
  );
  assert.ok(told.every((waitMs, index) => waitMs >= 300 + 50 * index));
  assert.ok(new Set(told.map((waitMs) => Math.floor(waitMs / 50))).size >= 15);
  const later = line.scheduleRetryMs({
    nowMs: 60_000,
    roomInMs: 300,
    spacingMs: 50,
    maxMs: 5_000,
    entropy: 0,
  });
  assert.equal(later, 300);
});
