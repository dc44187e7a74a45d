import assert from 'node:assert/strict';
import { it } from 'node:test';
import { AdmissionQueue } from '../../src/core/admission/index.js';
import { configurationSchema } from '../../src/core/configuration/document.js';
import type { RequestDescription } from '../../src/core/requests/types.js';
import { VirtualClock } from '../../src/lab/simulation/virtual-clock.js';
import { Random } from '../../src/lab/workload/random.js';

const SLOTS = 32;
const SERVICE_MS = 200;
const DEADLINE_MS = 2_000;
const DURATION_MS = 30_000;
/** Requests per millisecond that the slots finish when none is ever idle. */
const CAPACITY = SLOTS / SERVICE_MS;

/** Serves Poisson arrivals at a multiple of capacity; requests that start before their deadline count as goodput. */
function simulate(load: number, seed: number) {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const queue = new AdmissionQueue();
  queue.configure(configurationSchema.parse({}));
  const result = { inTime: 0, late: 0, refusedOnArrival: 0, expired: 0, maxWaiting: 0 };
  let running = 0;
  let arrived = 0;
  const begin = (request: RequestDescription) => {
    running += 1;
    const inTime = clock.now <= request.deadline;
    result.inTime += inTime ? 1 : 0;
    result.late += inTime ? 0 : 1;
    clock.scheduleAt(clock.now + SERVICE_MS * (0.5 + random.unit()), () => {
      running -= 1;
      queue.recordFinished(request.id, { promptTokens: 100, outputTokens: 0 });
      result.expired += queue.expired(clock.now).length;
      const next = queue.next(clock.now, () => running < SLOTS);
      if (next !== null) begin(next);
    });
  };
  const arrive = () => {
    arrived += 1;
    const request = describe(arrived, clock.now);
    const answer = queue.offer(request, { now: clock.now, hasCapacity: running < SLOTS });
    if (answer.kind === 'dispatch-now') begin(request);
    if (answer.kind === 'refused') result.refusedOnArrival += 1;
    result.maxWaiting = Math.max(result.maxWaiting, queue.waiting);
    clock.scheduleAt(clock.now + random.exponential(CAPACITY * load), arrive);
  };
  clock.scheduleAt(0, arrive);
  clock.runUntil(DURATION_MS);
  return { ...result, arrived };
}

function describe(number: number, now: number): RequestDescription {
  const tokens = { promptTokens: 100, maxOutputTokens: 0, prefixHashes: [] };
  return {
    id: `r${number}`,
    tenant: `t${number % 20}`,
    className: 'interactive',
    target: { kind: 'model', model: 'labels', adapter: null, ...tokens },
    streamed: false,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: now,
    deadline: now + DEADLINE_MS,
  };
}

it('at ten times capacity goodput stays near its peak, and nearly all refusals happen on arrival', () => {
  for (let seed = 1; seed <= 3; seed += 1) {
    const loads = [0.8, 0.95, 1.1, 1.5].map((load) => simulate(load, seed));
    const peak = Math.max(...loads.map(({ inTime }) => inTime));
    const over = simulate(10, seed);
    assert.ok(
      over.inTime >= 0.95 * peak,
      `${over.inTime} requests in time, ${peak} at the best load`,
    );
    assert.equal(over.late, 0);
    const unserved = over.refusedOnArrival + over.expired;
    assert.ok(
      over.refusedOnArrival >= 0.95 * unserved,
      `${over.refusedOnArrival} of ${unserved} unserved requests refused on arrival`,
    );
    assert.ok(over.maxWaiting <= 3 * CAPACITY * DEADLINE_MS, `${over.maxWaiting} waiting`);
  }
});
