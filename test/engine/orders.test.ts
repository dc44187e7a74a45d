/** The rules of docs/ENGINE-API.md for fenced orders, checked on the engine model. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { OrderAnswer } from '../../src/core/orders/index.js';
import { describePrompt, EngineModel } from '../../src/lab/engine/index.js';
import { CLOSE_INTAKE, LABELS, orderOf, TO_DECODE } from './fixtures.js';

const ROLE_CHANGE_MS = 4_000;
const DONE = { kind: 'accepted', state: 'done' };
const RUNNING = { kind: 'accepted', state: 'running' };

function newModel(boot = 'boot-1'): EngineModel {
  const identity = { name: 'engine-1', boot, role: 'mixed', models: [LABELS], seed: 7 } as const;
  const times = { roleChangeMs: ROLE_CHANGE_MS, loadMs: 6_000 };
  return new EngineModel({ ...identity, ...times, accelerator: 'new' }, 0);
}

function reasonOf(answer: OrderAnswer): string | null {
  return answer.kind === 'refused' ? answer.reason : null;
}

function submit(model: EngineModel, now: number, attempt: string, name = 'labels') {
  return model.submit(now, {
    attempt,
    priority: 5,
    name,
    version: null,
    describe: (resolved) => describePrompt(resolved, 'a prompt'),
    work: {
      kind: 'completion',
      streamed: true,
      maxTokens: 10_000,
      resumeOffset: 0,
      kvHandle: null,
    },
  });
}

test('an order with a lower fence, or with the fence of another order, is refused as stale, also if repeated', () => {
  const model = newModel();
  const first = orderOf('boot-1', 5, CLOSE_INTAKE);
  assert.deepEqual(model.order(0, first), DONE);
  assert.equal(reasonOf(model.order(0, orderOf('boot-1', 4, TO_DECODE))), 'stale-fence');
  const equal = orderOf('boot-1', 5, TO_DECODE, { id: 'other' });
  assert.equal(reasonOf(model.order(0, equal)), 'stale-fence');
  const lowerEpoch = orderOf('boot-1', 9, TO_DECODE, { fence: { epoch: 0, sequence: 9 } });
  assert.equal(reasonOf(model.order(0, lowerEpoch)), 'stale-fence');
  const raised = orderOf('boot-1', 0, TO_DECODE, { fence: { epoch: 2, sequence: 0 } });
  assert.deepEqual(model.order(0, raised), RUNNING);
  assert.equal(reasonOf(model.order(0, first)), 'stale-fence');
  const report = model.report(0);
  assert.deepEqual([report.intake, report.fence], ['closed', { epoch: 2, sequence: 0 }]);
});

test('a repeated order never runs twice, returns the state of the first and raises the fence', () => {
  const model = newModel();
  const order = orderOf('boot-1', 1, TO_DECODE);
  assert.deepEqual(model.order(0, order), RUNNING);
  assert.deepEqual(model.order(10, order), RUNNING);
  const withHigherEpoch = { ...order, fence: { epoch: 2, sequence: 1 } };
  assert.deepEqual(model.order(20, withHigherEpoch), RUNNING);
  assert.equal(reasonOf(model.order(20, order)), 'stale-fence');
  assert.equal(model.orderState(ROLE_CHANGE_MS, order.id), 'done');
  assert.deepEqual(model.order(ROLE_CHANGE_MS, withHigherEpoch), DONE);
  const report = model.report(ROLE_CHANGE_MS);
  assert.deepEqual(
    [report.role, report.busy, report.fence],
    ['decode', false, withHigherEpoch.fence],
  );
  const ended = model.advance(ROLE_CHANGE_MS).filter((output) => output.kind === 'order-ended');
  assert.equal(ended.length, 1);
});

test('while an order runs, another order and new requests are refused, but a hold is carried out', () => {
  const model = newModel();
  model.order(0, orderOf('boot-1', 1, TO_DECODE));
  const load = { kind: 'load-model', model: 'labels', version: 'v2' } as const;
  assert.equal(reasonOf(model.order(1, orderOf('boot-1', 2, load))), 'other-order');
  assert.deepEqual(model.report(1).fence, { epoch: 1, sequence: 2 });
  assert.deepEqual(model.order(2, orderOf('boot-1', 3, CLOSE_INTAKE)), DONE);
  const refused = submit(model, 3, 'r1');
  assert.equal(refused.kind === 'refused' && refused.code, 'engine-busy');
  assert.deepEqual(model.report(3).lastOrder, { id: 'order-1', state: 'running' });
});

test('an order with onlyIfIdle is refused while requests run, but raises the fence; without it requests are aborted', () => {
  const model = newModel();
  submit(model, 0, 'r1');
  submit(model, 0, 'r2');
  const onlyIfIdleOrder = orderOf('boot-1', 1, TO_DECODE, { onlyIfIdle: true });
  assert.equal(reasonOf(model.order(10, onlyIfIdleOrder)), 'busy');
  assert.deepEqual(model.report(10).fence, onlyIfIdleOrder.fence);
  assert.equal(model.orderState(10, onlyIfIdleOrder.id), 'unknown');
  assert.equal(model.activeRequests, 2);
  assert.deepEqual(model.order(11, orderOf('boot-1', 2, CLOSE_INTAKE, { onlyIfIdle: true })), DONE);
  assert.deepEqual(model.order(20, orderOf('boot-1', 3, TO_DECODE)), RUNNING);
  const cut = model.advance(20).flatMap((output) => (output.kind === 'cut' ? output.attempt : []));
  assert.deepEqual(cut, ['r1', 'r2']);
  assert.equal(model.activeRequests, 0);
});

test('an order without effect is done immediately and aborts no request', () => {
  const model = newModel();
  submit(model, 0, 'r1');
  const same = orderOf('boot-1', 1, { kind: 'set-role', role: 'mixed' });
  assert.deepEqual(model.order(1, same), DONE);
  assert.equal(model.activeRequests, 1);
});

test('an order for another boot or engine, or for a model that is not loaded, is refused', () => {
  const model = newModel();
  assert.equal(reasonOf(model.order(0, orderOf('boot-0', 1, TO_DECODE))), 'wrong-boot');
  assert.equal(model.report(0).fence, null);
  const otherEngineOrder = orderOf('boot-1', 1, TO_DECODE, { engine: 'engine-2' });
  assert.equal(reasonOf(model.order(0, otherEngineOrder)), 'invalid');
  const adapter = {
    kind: 'load-adapter',
    model: 'other',
    adapter: 'dutch',
    version: 'a1',
  } as const;
  assert.equal(reasonOf(model.order(0, orderOf('boot-1', 2, adapter))), 'invalid');
});

test('models and adapters are loaded and unloaded; a failed order has no effect', () => {
  const model = newModel();
  let now = 0;
  const run = (sequence: number, action: Parameters<typeof orderOf>[2]): string => {
    assert.deepEqual(model.order(now, orderOf('boot-1', sequence, action)), RUNNING);
    now += 10_000;
    return model.orderState(now, `order-${sequence}`);
  };
  const adapter = {
    kind: 'load-adapter',
    model: 'labels',
    adapter: 'dutch',
    version: 'a1',
  } as const;
  assert.equal(run(1, adapter), 'done');
  const accepted = submit(model, now, 'r1', 'dutch');
  assert.equal(accepted.kind === 'accepted' && accepted.version, 'v1+a1');
  assert.equal(run(2, { kind: 'load-model', model: 'labels', version: 'v2' }), 'done');
  const newest = submit(model, now, 'r2');
  assert.equal(newest.kind === 'accepted' && newest.version, 'v2');
  model.failNextOrder();
  assert.equal(run(3, { kind: 'unload-model', model: 'labels', version: 'v1' }), 'failed');
  const repeated = model.order(
    now,
    orderOf('boot-1', 3, { kind: 'unload-model', model: 'labels', version: 'v1' }),
  );
  assert.deepEqual(repeated, { kind: 'accepted', state: 'failed' });
  assert.equal(run(4, { kind: 'unload-model', model: 'labels', version: 'v1' }), 'done');
  assert.deepEqual(model.report(now).models, [{ model: 'labels', version: 'v2', adapters: [] }]);
  const afterUnload = submit(model, now, 'r3', 'dutch');
  assert.equal(afterUnload.kind === 'refused' && afterUnload.code, 'model-not-loaded');
});

test('a new boot starts without fence and orders and with open intake', () => {
  const firstBoot = newModel();
  firstBoot.order(0, orderOf('boot-1', 7, CLOSE_INTAKE));
  const restarted = newModel('boot-2');
  assert.equal(reasonOf(restarted.order(0, orderOf('boot-1', 8, TO_DECODE))), 'wrong-boot');
  const { fence, intake, lastOrder } = restarted.report(0);
  assert.deepEqual([fence, intake, lastOrder], [null, 'open', null]);
  assert.equal(restarted.orderState(0, 'order-7'), 'unknown');
});
