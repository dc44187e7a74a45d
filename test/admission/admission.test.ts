import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { AdmissionQueue } from '../../src/core/admission/index.js';
import { configurationSchema } from '../../src/core/configuration/document.js';
import type { RequestDescription } from '../../src/core/requests/types.js';

let counter = 0;

function request(changes: Partial<RequestDescription> & { tokens?: number } = {}) {
  const { tokens = 100, ...rest } = changes;
  counter += 1;
  const description: RequestDescription = {
    id: `r${counter}`,
    tenant: 'tenant',
    className: 'interactive',
    target: {
      kind: 'model',
      model: 'labels',
      adapter: null,
      promptTokens: tokens,
      maxOutputTokens: 0,
      prefixHashes: [],
    },
    streamed: false,
    repeatable: true,
    idempotencyKey: null,
    bodyDigest: null,
    arrivedAt: 0,
    deadline: 1e9,
    ...rest,
  };
  return description;
}

function queueFor(document: object = {}, limits = {}): AdmissionQueue {
  const queue = new AdmissionQueue(limits);
  queue.configure(configurationSchema.parse(document));
  return queue;
}

const full = (now: number) => ({ now, hasCapacity: false });
const always = () => true;

/** Lets `count` requests go, one each `stepMs`, each ending at once; counts them by `key`. */
function serve(
  queue: AdmissionQueue,
  count: number,
  key: (request: RequestDescription) => string,
  used: (request: RequestDescription) => number = () => 100,
): Map<string, number> {
  const served = new Map<string, number>();
  for (let turn = 0; turn < count; turn += 1) {
    const next = queue.next(turn, always);
    assert.ok(next !== null);
    served.set(key(next), (served.get(key(next)) ?? 0) + 1);
    queue.recordFinished(next.id, { promptTokens: used(next), outputTokens: 0 });
  }
  return served;
}

describe('admission', () => {
  it('lets a request go at once when there is capacity and nobody waits', () => {
    const queue = queueFor();
    assert.equal(queue.offer(request(), { now: 0, hasCapacity: true }).kind, 'dispatch-now');
    assert.equal(queue.offer(request(), full(0)).kind, 'queued');
    assert.equal(queue.offer(request(), { now: 0, hasCapacity: true }).kind, 'queued');
    assert.equal(queue.waiting, 2);
    assert.equal(queue.admitted, 1);
  });

  it('shares by weight over 7,300 tenants with one at ten times the weight of the others', () => {
    const queue = queueFor(
      { tenants: { heavy: { weight: 10, class: 'interactive' } } },
      {
        maxWaitingPerClass: 1e6,
      },
    );
    for (let tenant = 0; tenant < 7_299; tenant += 1) {
      for (let repeat = 0; repeat < 3; repeat += 1) {
        queue.offer(request({ tenant: `t${tenant}` }), full(0));
      }
    }
    for (let repeat = 0; repeat < 30; repeat += 1) {
      queue.offer(request({ tenant: 'heavy' }), full(0));
    }
    const served = serve(queue, 2 * 7_309, (next) => next.tenant);
    const heavy = served.get('heavy') ?? 0;
    served.delete('heavy');
    assert.ok(Math.abs(heavy - 20) <= 1, `heavy got ${heavy}`);
    assert.equal(served.size, 7_299);
    assert.ok([...served.values()].every((count) => count >= 1 && count <= 3));
  });

  it('corrects a charge by what was used: a tenant that understates gets no more', () => {
    const queue = queueFor();
    for (let repeat = 0; repeat < 400; repeat += 1) {
      queue.offer(request({ tenant: 'honest', tokens: 100 }), full(0));
      queue.offer(request({ tenant: 'understating', tokens: 10 }), full(0));
    }
    const served = serve(queue, 300, (next) => next.tenant);
    assert.ok(Math.abs((served.get('honest') ?? 0) - 150) <= 2);
  });

  it('gives back the charge of a request that was not run', () => {
    const queue = queueFor();
    for (let repeat = 0; repeat < 50; repeat += 1) {
      queue.offer(request({ tenant: 'a' }), full(0));
      queue.offer(request({ tenant: 'b' }), full(0));
    }
    let served = 0;
    for (let turn = 0; turn < 40; turn += 1) {
      const next = queue.next(turn, always);
      served += next?.tenant === 'b' ? 1 : 0;
      queue.recordFinished(
        next?.id ?? '',
        next?.tenant === 'a' ? null : { promptTokens: 100, outputTokens: 0 },
      );
    }
    assert.ok(served <= 1, `b was let go ${served} times while a was owed`);
  });

  const classes = {
    urgent: { priority: 1, share: 0.7, deadlineMs: 1_000 },
    later: { priority: 5, share: 1, deadlineMs: 1_000 },
    interactive: { priority: 1, share: 1, deadlineMs: 1_000 },
  };

  it('serves classes by priority, tempered by shares, and starves none', () => {
    for (const [className, expected] of [
      ['urgent', 0.7],
      ['interactive', 0.95],
    ] as const) {
      const queue = queueFor({ classes });
      for (let repeat = 0; repeat < 2_000; repeat += 1) {
        queue.offer(request({ className }), full(0));
        queue.offer(request({ className: 'later' }), full(0));
      }
      const served = serve(queue, 1_000, (next) => next.className);
      const part = (served.get(className) ?? 0) / 1_000;
      assert.ok(Math.abs(part - expected) < 0.02, `${className} got ${part}`);
    }
  });

  it('sheds at the door by expected wait, and a retry after the stated time is taken', () => {
    const queue = queueFor();
    const late = (now: number, tenant: string) => request({ tenant, deadline: now + 1_000 });
    for (let repeat = 0; repeat < 300; repeat += 1) {
      queue.offer(request({ tenant: `t${repeat % 3}` }), full(0));
    }
    for (let now = 10; now <= 500; now += 10) {
      queue.next(now, always);
    }
    const answer = queue.offer(late(500, 't0'), full(500));
    assert.equal(answer.kind, 'refused');
    assert.equal(answer.fault.outcome, 'refused-not-run');
    const retryAt = 500 + (answer.fault.retryAfterMs ?? 0);
    for (let now = 510; now <= retryAt; now += 10) {
      const tooEarly = now < retryAt - 500 ? queue.offer(late(now, 't0'), full(now)) : null;
      assert.ok(tooEarly === null || tooEarly.kind === 'refused', `taken ${retryAt - now} early`);
      queue.next(now, always);
    }
    assert.equal(queue.offer(late(retryAt, 't0'), full(retryAt)).kind, 'queued');
  });

  it('tells a tenant over its share from an overloaded fleet', () => {
    const queue = queueFor({}, { maxWaitingPerClass: 100 });
    for (let repeat = 0; repeat < 60; repeat += 1) {
      queue.offer(request({ tenant: 'flood' }), full(0));
    }
    queue.offer(request({ tenant: 'small' }), full(0));
    const codeOf = (tenant: string) => {
      const answer = queue.offer(request({ tenant }), full(0));
      return answer.kind === 'refused' ? answer.fault.code : answer.kind;
    };
    assert.equal(codeOf('flood'), 'tenant-over-share');
    assert.equal(codeOf('small'), 'queued');
    while (codeOf('small') === 'queued') {}
    assert.ok(queue.waiting <= 100);
  });

  it('ends what waits past its deadline, with a time to retry', () => {
    const queue = queueFor();
    queue.offer(request({ deadline: 50 }), full(0));
    queue.offer(request({ deadline: 20 }), full(0));
    assert.equal(queue.nextDeadline, 20);
    assert.equal(queue.expired(19).length, 0);
    const gone = queue.expired(20);
    assert.deepEqual(
      gone.map((expired) => expired.fault.code),
      ['deadline-passed'],
    );
    assert.equal(queue.waiting, 1);
  });

  it('does not let a full model hold up another', () => {
    const queue = queueFor();
    const other = request();
    queue.offer(request(), full(0));
    queue.offer({ ...other, target: { kind: 'web', service: 'viewer' } }, full(0));
    const next = queue.next(0, (candidate) => candidate.target.kind === 'web');
    assert.equal(next?.id, other.id);
    assert.equal(
      queue.next(0, () => false),
      null,
    );
  });

  it('loses and doubles no request, whatever the order of events', () => {
    const command = fc.record({
      action: fc.constantFrom('offer', 'offer', 'next', 'finish', 'remove', 'expire', 'retry'),
      tenant: fc.constantFrom('a', 'b', 'c'),
      className: fc.constantFrom('urgent', 'later'),
      pick: fc.nat(1_000),
    });
    const property = fc.property(fc.array(command, { maxLength: 200 }), (commands) => {
      const queue = queueFor({ classes }, { maxWaitingPerClass: 20 });
      const waiting = new Map<string, RequestDescription>();
      const running = new Map<string, RequestDescription>();
      let now = 0;
      for (const { action, tenant, className, pick } of commands) {
        now += pick % 50;
        const someWaiting = [...waiting.keys()][pick % Math.max(1, waiting.size)] ?? 'none';
        const someRunning = [...running.values()][pick % Math.max(1, running.size)];
        if (action === 'offer' || (action === 'retry' && someRunning !== undefined)) {
          const created = request({ tenant, className, deadline: now + 300 });
          const offered = action === 'retry' && someRunning ? someRunning : created;
          const answer = queue.offer(offered, { now, hasCapacity: pick % 7 === 0 });
          assert.ok(action === 'offer' || answer.kind !== 'refused');
          if (answer.kind === 'queued') {
            running.delete(offered.id);
            waiting.set(offered.id, offered);
          } else if (answer.kind === 'dispatch-now') {
            running.set(offered.id, offered);
          }
        } else if (action === 'next') {
          const next = queue.next(now, always);
          assert.equal(next === null, waiting.size === 0);
          if (next !== null) {
            assert.ok(waiting.delete(next.id));
            running.set(next.id, next);
          }
        } else if (action === 'finish' && someRunning !== undefined) {
          queue.recordFinished(someRunning.id, { promptTokens: pick, outputTokens: 0 });
          running.delete(someRunning.id);
        } else if (action === 'remove') {
          queue.remove(someWaiting, now);
          waiting.delete(someWaiting);
        } else if (action === 'expire') {
          for (const gone of queue.expired(now)) {
            assert.ok(waiting.delete(gone.description.id));
          }
        }
        assert.equal(queue.waiting, waiting.size);
      }
    });
    fc.assert(property, { numRuns: 300, seed: 1 });
  });
});
