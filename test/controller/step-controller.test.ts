import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type ControllerEvent,
  type ControllerOutput,
  type ControllerState,
  DEFAULT_CONTROLLER_LIMITS,
  initialControllerState,
  stepController,
} from '../../src/core/controller/index.js';
import { type Authority, epochKey } from '../../src/core/lease/index.js';
import { type IntentRow, intentKey, type OrderAnswer } from '../../src/core/orders/index.js';
import type { EngineReport, EngineRole } from '../../src/core/registry/backend.js';
import { GRANT_LAPSE_MS } from '../../src/core/registry/grant.js';
import {
  bootId,
  finishOrder,
  handleOrder,
  type ModelEngine,
  orderState,
  reportOf,
  startedEngine,
} from '../../src/lab/model/engine.js';
import { applyCall, EMPTY_TABLE, type ModelTable, rowOf } from '../../src/lab/model/table.js';

const TICK_MS = 50;
const POOL = 'labels';
const MODELS = [{ model: 'labels', version: '1', adapters: [] }];

/** A pool with a table, engines and one daemon's controller, in virtual time. */
class Harness {
  table: ModelTable = EMPTY_TABLE;
  now = 1_000;
  readonly engines = new Map<string, ModelEngine>();
  readonly roles = new Map<string, EngineRole>();
  readonly log: string[] = [];
  controller: ControllerState;
  authority: Authority | null = null;
  /** The answer to the next order is lost; the engine has received the order if `after` is true. */
  loseAnswer: { readonly after: boolean } | null = null;
  /** A delayed request arrives at the engine just before the next order. */
  requestBeforeOrder = false;
  /** While set, replaces all new reports. */
  lastReport: { readonly report: EngineReport; readonly reportedAt: number } | null = null;
  /** Orders finish immediately, but after the report of the same tick was made. */
  finishAtOnce = false;

  constructor(names: readonly string[]) {
    for (const name of names) this.engines.set(name, startedEngine(name, 1, MODELS));
    this.controller = this.newController();
    this.takeOver();
  }

  newController(): ControllerState {
    const limits = { ...DEFAULT_CONTROLLER_LIMITS, grantLapseMs: GRANT_LAPSE_MS };
    return initialControllerState({ pool: POOL, ...limits });
  }

  /** Gives the current controller the authority of the next epoch. */
  takeOver(): void {
    const key = epochKey(`pool/${POOL}`);
    const epoch = (this.authority?.epoch ?? 0) + 1;
    const { table } = applyCall(this.table, {
      kind: 'transact',
      checks: [],
      writes: [{ key, value: { epoch } }],
    });
    this.table = table;
    const epochRowVersion = rowOf(table, key).version;
    this.authority = { epoch, epochRowVersion, until: Number.POSITIVE_INFINITY };
  }

  engine(name: string): ModelEngine {
    const engine = this.engines.get(name);
    assert.ok(engine);
    return engine;
  }

  intent(name: string): IntentRow | null {
    return rowOf(this.table, intentKey(name)).value as IntentRow | null;
  }

  send(event: ControllerEvent): void {
    const context = { now: this.now, entropy: 0 };
    const { state, effects } = stepController(this.controller, event, context);
    this.controller = state;
    for (const effect of effects) this.performEffect(effect);
  }

  performEffect(effect: ControllerOutput): void {
    if (effect.kind === 'table') {
      const { table, result } = applyCall(this.table, effect.call);
      this.table = table;
      this.send({ kind: 'table-result', token: effect.token, result });
    }
    if (effect.kind === 'send-order') this.deliver(effect);
    if (effect.kind === 'query-order') {
      const state = orderState(this.engine(effect.engine), effect.orderId);
      this.send({ kind: 'order-state', engine: effect.engine, orderId: effect.orderId, state });
    }
  }

  deliver({ order }: Extract<ControllerOutput, { kind: 'send-order' }>): void {
    const isHold = order.action.kind === 'hold';
    const loss = isHold ? null : this.loseAnswer;
    let answer: OrderAnswer = { kind: 'lost', reason: 'cut' };
    if (loss === null || loss.after) {
      if (this.requestBeforeOrder && !isHold) this.admitRequest(order.engine);
      const taken = handleOrder(this.engine(order.engine), order);
      const isStarted = taken.answer.kind === 'accepted' && !isHold;
      if (isStarted)
        assert.equal(this.engine(order.engine).active, 0, 'an order interrupted an active request');
      this.engines.set(order.engine, taken.engine);
      if (this.finishAtOnce) this.finish(order.engine);
      if (loss === null) answer = handleOrder(this.engine(order.engine), order).answer;
      if (!isHold) this.log.push(`${order.engine} ${order.action.kind}`);
    }
    if (!isHold) this.loseAnswer = null;
    const { id: orderId, fence } = order;
    this.send({ kind: 'order-answer', engine: order.engine, orderId, fence, answer });
  }

  /** Adds an active request and freezes the report made before it. */
  admitRequest(name: string): void {
    this.requestBeforeOrder = false;
    this.lastReport = { report: reportOf(this.engine(name)), reportedAt: this.now };
    this.engines.set(name, { ...this.engine(name), active: 1 });
  }

  tick(): void {
    this.now += TICK_MS;
    this.send({
      kind: 'tick',
      authority: this.authority,
      engines: [...this.engines.values()].map((engine) => ({
        machine: {
          kind: 'engine',
          name: engine.name,
          zone: 'leiden-a',
          state: 'live',
          address: '127.0.0.1',
          port: 1,
          accelerator: 'new',
        },
        ...(this.lastReport ?? { report: reportOf(engine), reportedAt: this.now }),
        grantedUntil: this.now,
        watcher: null,
      })),
      desired: [...this.roles].map(([engine, role]) => {
        return { engine, role, models: null, reason: 'test' };
      }),
    });
  }

  runUntil(condition: () => boolean, limitMs = 20_000): void {
    const end = this.now + limitMs;
    while (!condition() && this.now < end) this.tick();
    assert.ok(condition(), 'the condition was not reached within the time limit');
  }

  finish(name: string): void {
    this.engines.set(name, finishOrder(this.engine(name), 'done'));
  }

  isRunning(name: string): boolean {
    return reportOf(this.engine(name)).busy;
  }
}

test('a role change drains the engine, orders the change once, and reopens the intake', () => {
  const harness = new Harness(['e1', 'e2']);
  harness.roles.set('e1', 'decode');
  harness.engines.set('e1', { ...harness.engine('e1'), active: 1 });
  harness.runUntil(() => harness.engine('e1').intake === 'closed');
  const closedAt = harness.now;
  harness.runUntil(() => harness.now > closedAt + 5_000);
  assert.equal(harness.intent('e1')?.phase, 'draining');
  harness.engines.set('e1', { ...harness.engine('e1'), active: 0 });
  harness.runUntil(() => harness.isRunning('e1'));
  assert.equal(harness.intent('e1')?.phase, 'ordered');
  harness.finish('e1');
  harness.runUntil(() => harness.engine('e1').intake === 'open');
  assert.equal(harness.intent('e1')?.outcome, 'done');
  assert.deepEqual(harness.log, ['e1 set-role']);
});

test('no order is sent before every grant has lapsed', () => {
  const harness = new Harness(['e1', 'e2']);
  harness.roles.set('e1', 'decode');
  harness.runUntil(() => harness.engine('e1').intake === 'closed');
  const closedAt = harness.now;
  harness.runUntil(() => harness.isRunning('e1'));
  assert.ok(harness.now >= closedAt + GRANT_LAPSE_MS, `${harness.now - closedAt} ms`);
});

test('engines of a small pool change one at a time', () => {
  const harness = new Harness(['e1', 'e2']);
  harness.roles.set('e1', 'decode').set('e2', 'prefill');
  harness.runUntil(() => harness.isRunning('e1'));
  assert.equal(harness.engine('e2').intake, 'open');
  harness.finish('e1');
  harness.runUntil(() => harness.isRunning('e2'));
  assert.equal(harness.engine('e1').intake, 'open');
});

test('at least one of the engines that hold a model keeps serving, even in a large pool', () => {
  const harness = new Harness(Array.from({ length: 12 }, (_, index) => `e${index}`));
  for (let index = 2; index < 12; index += 1) {
    const engine = harness.engine(`e${index}`);
    const models = [{ model: 'other', version: '1', adapters: [] }];
    harness.engines.set(engine.name, { ...engine, models });
  }
  harness.roles.set('e0', 'decode').set('e1', 'decode').set('e2', 'decode').set('e3', 'decode');
  harness.runUntil(() => harness.isRunning('e0') && harness.isRunning('e2'));
  assert.equal(harness.engine('e1').intake, 'open', 'both engines of a model are out of service');
  assert.equal(harness.isRunning('e3'), true, 'three of twelve engines may be out of service');
  harness.finish('e0');
  harness.runUntil(() => harness.isRunning('e1'));
});

test('after a lost answer the order is queried, and sent again only if the engine did not receive it', () => {
  for (const after of [true, false]) {
    const harness = new Harness(['e1']);
    harness.roles.set('e1', 'decode');
    harness.loseAnswer = { after };
    harness.runUntil(() => harness.isRunning('e1'));
    harness.finish('e1');
    harness.runUntil(() => harness.intent('e1')?.phase === 'settled');
    assert.equal(harness.intent('e1')?.outcome, 'done');
    assert.deepEqual(harness.log, ['e1 set-role']);
  }
});

test('an order refused as busy is sent again only after a later report shows the engine idle', () => {
  const harness = new Harness(['e1']);
  harness.roles.set('e1', 'decode');
  harness.requestBeforeOrder = true;
  harness.runUntil(() => harness.log.length > 0);
  const refusedAt = harness.now;
  harness.runUntil(() => harness.now > refusedAt + 5_000);
  assert.deepEqual(harness.log, ['e1 set-role'], 'the order was sent again based on an old report');
  harness.engines.set('e1', { ...harness.engine('e1'), active: 0 });
  harness.lastReport = null;
  harness.runUntil(() => harness.isRunning('e1'));
});

test('the next controller takes over a running order under its own epoch', () => {
  const harness = new Harness(['e1']);
  harness.roles.set('e1', 'decode');
  harness.runUntil(() => harness.isRunning('e1'));
  const orderId = harness.intent('e1')?.orderId;
  harness.controller = harness.newController();
  harness.takeOver();
  harness.finish('e1');
  harness.runUntil(() => harness.intent('e1')?.phase === 'settled');
  assert.equal(harness.intent('e1')?.orderId, orderId);
  assert.equal(harness.intent('e1')?.outcome, 'done');
  assert.equal(harness.engine('e1').fence?.epoch, 2);
  assert.deepEqual(harness.log, ['e1 set-role']);
});

test('a deposed controller can neither write an intent nor send an order', () => {
  const harness = new Harness(['e1']);
  harness.tick();
  const stale = harness.authority;
  harness.takeOver();
  harness.authority = stale;
  harness.roles.set('e1', 'decode');
  for (let index = 0; index < 100; index += 1) harness.tick();
  assert.equal(harness.intent('e1'), null);
  assert.deepEqual(harness.log, []);
});

test('after an engine restarts during an order, the order fails and a new one is sent', () => {
  const harness = new Harness(['e1']);
  harness.roles.set('e1', 'decode');
  harness.runUntil(() => harness.isRunning('e1'));
  harness.engines.set('e1', startedEngine('e1', 2, MODELS));
  harness.runUntil(() => harness.intent('e1')?.outcome === 'failed');
  harness.runUntil(() => harness.isRunning('e1'));
  assert.equal(harness.intent('e1')?.boot, bootId(harness.engine('e1')));
});

test('a drain that exceeds its time limit is abandoned and the intake is reopened', () => {
  const harness = new Harness(['e1']);
  harness.roles.set('e1', 'decode');
  harness.engines.set('e1', { ...harness.engine('e1'), active: 1 });
  harness.runUntil(() => harness.intent('e1')?.outcome === 'abandoned', 70_000);
  harness.runUntil(() => harness.engine('e1').intake === 'open');
  assert.deepEqual(harness.log, []);
});

test('a report made at the same time as an intent was settled does not start another change', () => {
  const harness = new Harness(['e1']);
  harness.finishAtOnce = true;
  harness.roles.set('e1', 'decode');
  harness.runUntil(() => harness.intent('e1')?.phase === 'settled');
  const orderId = harness.intent('e1')?.orderId;
  const settledAt = harness.now;
  harness.runUntil(() => harness.now > settledAt + 5_000);
  assert.equal(harness.intent('e1')?.orderId, orderId, 'the engine was drained again without need');
});
