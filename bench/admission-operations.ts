/** How long admission's operations take with 7,300 tenants and thousands waiting. */
import { AdmissionQueue } from '../src/core/admission/index.js';
import { configurationSchema } from '../src/core/configuration/document.js';
import type { RequestDescription } from '../src/core/requests/types.js';
import { type OperationTimes, timeOperations } from './measure.js';

const TENANTS = 7_300;
const OPERATIONS = 50_000;
const BACKLOG = 5_000;

/** One line of the result. */
export interface AdmissionTimes extends OperationTimes {
  readonly case: string;
  readonly tenants: number;
}

/** Measures the pass-through and the queued path. */
export function benchAdmission(): AdmissionTimes[] {
  return [measureOpen(), measureBacklogged(), measureShedding()];
}

function measureOpen(): AdmissionTimes {
  const queue = createQueue(8_192);
  const times = timeOperations(OPERATIONS, (turn) => {
    const request = describe(turn);
    queue.offer(request, { now: turn, hasCapacity: true });
    queue.recordFinished(request.id, { promptTokens: 500, outputTokens: 20 });
  });
  return { case: 'dispatch-now and finish', tenants: TENANTS, ...times };
}

function measureBacklogged(): AdmissionTimes {
  const queue = createQueue(100_000);
  for (let turn = 0; turn < BACKLOG; turn += 1) {
    queue.offer(describe(-1 - turn), { now: 0, hasCapacity: false });
  }
  const times = timeOperations(OPERATIONS, (turn) => {
    queue.offer(describe(turn), { now: turn, hasCapacity: false });
    const next = queue.next(turn, () => true);
    queue.recordFinished(next?.id ?? '', { promptTokens: 500, outputTokens: 20 });
  });
  return { case: `offer, next and finish with ${BACKLOG} waiting`, tenants: TENANTS, ...times };
}

function measureShedding(): AdmissionTimes {
  const queue = createQueue(BACKLOG);
  for (let turn = 0; turn < BACKLOG; turn += 1) {
    queue.offer(describe(-1 - turn), { now: 0, hasCapacity: false });
  }
  const times = timeOperations(OPERATIONS, (turn) => {
    queue.offer(describe(turn), { now: turn, hasCapacity: false });
  });
  return { case: 'refuse at the door', tenants: TENANTS, ...times };
}

function createQueue(maxWaitingPerClass: number): AdmissionQueue {
  const queue = new AdmissionQueue({ maxWaitingPerClass });
  queue.configure(configurationSchema.parse({}));
  return queue;
}

function describe(turn: number): RequestDescription {
  return {
    id: `r${turn}`,
    tenant: `t${Math.abs(turn * 7_919) % TENANTS}`,
    className: 'interactive',
    target: {
      kind: 'model',
      model: 'labels',
      adapter: null,
      promptTokens: 500,
      maxOutputTokens: 50,
      prefixHashes: [],
    },
    streamed: false,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: turn,
    deadline: 1e12,
  };
}
