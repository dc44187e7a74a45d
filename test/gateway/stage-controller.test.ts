/** Stage orders: sent only under a valid lease, fenced by its epoch, by one daemon at a time. */
import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { REQUEST_CODEC } from '../../platform/request-codec.js';
import type { Route, ServerRecord, StageNotice } from '../../src/core/gateway/index.js';
import type { BackendCall, CallResult } from '../../src/shell/gateway/backend-connections.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { GatewayLog } from '../../src/shell/gateway/request-log.js';
import { ServerCalls } from '../../src/shell/gateway/server-calls.js';
import { ServicePathMonitor } from '../../src/shell/gateway/service-path-monitor.js';
import { StageController } from '../../src/shell/gateway/stage-controller.js';
import { suspensionAwareTimers } from '../../src/shell/gateway/timer-service.js';
import { quietDepartureReports } from './support/departure-reports.js';
import { ManualTimers } from './support/manual-timers.js';
import { MemoryTable } from './support/memory-table.js';

const LEASE_MS = 3_000;
const ROUTE_TIMEOUT_MS = 3_000;
const RESUMABLE_ROUTE: Route = {
  name: 'read',
  host: 'labels.example',
  pathPrefix: '/read/',
  kind: 'streaming',
  isPublic: true,
  resumable: true,
  timeoutMs: ROUTE_TIMEOUT_MS,
  targetLatencyMs: 500,
  priority: 0,
  attempts: 2,
  traffic: [{ service: 'reader', weight: 1 }],
};
const QUIET_LOGGER = { write: () => undefined, flush: () => undefined };

interface Order {
  readonly holder: string;
  readonly fence: number;
  readonly stage: string;
  readonly expectedRevision: number;
  readonly address: string;
}

/** Engines that answer report calls, accept every order and change their stage at once. */
class MemoryEngines {
  readonly orders: Order[] = [];
  readonly #stages = new Map<string, string>();
  /** The start time in the engines' reports; undefined if the reports lack it. */
  bornMs: number | undefined;

  setStage(address: string, stage: string): void {
    this.#stages.set(address, stage);
  }

  call(call: BackendCall): Promise<CallResult> {
    if (call.path === '/report') {
      const stage = this.#stages.get(call.address) ?? 'decode';
      return answered({ stage, busy: false, sequence: 7, models: [], born: this.bornMs });
    }
    const order: Order = { ...JSON.parse(call.body.toString()), address: call.address };
    this.orders.push(order);
    this.#stages.set(order.address, order.stage);
    return answered({}, 202);
  }
}

function answered(document: unknown, status = 200): Promise<CallResult> {
  const answer = {
    status,
    message: { headers: {} } as IncomingMessage,
    collect: () => Promise.resolve(Buffer.from(JSON.stringify(document))),
  };
  return Promise.resolve({ kind: 'answered', answer } as unknown as CallResult);
}

function fleetShortOfPrefillEngines(nowMs: number): FleetView {
  const fleet = new FleetView({ ratio: 0.2, slack: 48 });
  const engine = {
    slots: 8,
    kvTokens: 1,
    kvTokenBytes: 1,
    linkMbps: 1,
    roleSwitchMs: 3_000,
    maxCacheEventPolls: 1,
  };
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const services = new Map([['reader', { name: 'reader', engine, scaling: undefined }]]);
  const routes = [RESUMABLE_ROUTE];
  fleet.applyConfiguration({ version: 1, routes, tenants: undefined, services, limits }, nowMs);
  const records = [0, 1, 2, 3, 4, 5, 6, 7].map(
    (index): ServerRecord => ({
      id: `e${index}`,
      service: 'reader',
      address: `10.0.0.${index}:1`,
      zone: 'a',
      slots: 8,
      state: 'ready',
      isSpot: false,
      stage: index === 0 ? 'prefill' : 'decode',
    }),
  );
  fleet.directory.apply(records, []);
  return fleet;
}

interface Setup {
  readonly timers: ManualTimers;
  /** How long the machine was suspended; the steady clock stands still while it is. */
  suspendedMs: number;
  readonly table: MemoryTable;
  readonly engines: MemoryEngines;
  readonly fleet: FleetView;
  readonly notices: StageNotice[];
}

function setUp(): Setup {
  const timers = new ManualTimers();
  const fleet = fleetShortOfPrefillEngines(timers.nowMs());
  return {
    timers,
    suspendedMs: 0,
    table: new MemoryTable(),
    engines: new MemoryEngines(),
    fleet,
    notices: [],
  };
}

function startController(setup: Setup, daemon: string, mayOrder = () => true): StageController {
  const { timers, table, engines, fleet } = setup;
  const controller = new StageController({
    daemon,
    incarnation: daemon.length,
    leaseMs: LEASE_MS,
    leaseTimers: suspensionAwareTimers(timers, () => timers.nowMs() + setup.suspendedMs),
    mayOrder,
    startingEngines: () => 0,
    fleet,
    table,
    calls: new ServerCalls({
      reports: quietDepartureReports(fleet, timers),
      stalls: { whenCurrent: () => undefined },
      connections: engines,
      fleet,
      paths: new ServicePathMonitor({
        fleet,
        connections: { tryConnect: () => Promise.resolve('accepted') },
        timers,
        log: new GatewayLog(QUIET_LOGGER, timers, 1_000),
      }),
      codec: REQUEST_CODEC,
      timers,
      metrics: new GatewayMetrics(),
      log: new GatewayLog(QUIET_LOGGER, timers, 1_000),
      wallClock: () => timers.nowMs(),
      onLimitChange: () => undefined,
    }),
    codec: REQUEST_CODEC,
    broadcastStage: (notice) => setup.notices.push(notice),
    timers,
    log: new GatewayLog(QUIET_LOGGER, timers, 1_000),
  });
  controller.start();
  return controller;
}

/** Advances the time while long prompts keep arriving. */
async function advanceTime(setup: Setup, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += 50) {
    const nowMs = setup.timers.nowMs();
    setup.fleet.demand
      .of('reader')
      .recordRequest('long-prompt', { prefillMs: 100, decodeMs: 1 }, nowMs);
    setup.timers.advance(50);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('an order carries the epoch of the lease and the order sequence of the engine', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  await advanceTime(setup, 10_000);
  const order = setup.engines.orders[0];
  assert.deepEqual(
    [order?.holder, order?.fence, order?.stage, order?.expectedRevision],
    ['front-1', 1, 'prefill', 7],
  );
});

test('other daemons are notified before an engine is ordered, and again when it reports the new stage', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  const usable = () => setup.fleet.candidates('reader', setup.timers.nowMs());
  while (setup.notices.length === 0) await advanceTime(setup, 50);
  const engineId = setup.notices[0]?.engineId;
  assert.equal(setup.engines.orders.length, 0, 'it is drained first');
  assert.ok(usable().every(({ id }) => id !== engineId));
  await advanceTime(setup, 2_000);
  const phases = setup.notices.filter((notice) => notice.engineId === engineId);
  assert.equal(phases.at(-1)?.phase, 'changed');
  assert.equal(usable().find(({ id }) => id === engineId)?.stage, 'prefill');
});

// A server that leaves lists itself as ready again once an order is carried out.
for (const departure of ['draining', 'gone'] as const) {
  test(`an engine that is ${departure} by the time of its order is not ordered`, async () => {
    const setup = setUp();
    startController(setup, 'front-1');
    while (setup.notices.length === 0) await advanceTime(setup, 50);
    const { directory } = setup.fleet;
    const engine = directory.get(setup.notices[0]?.engineId ?? '');
    assert.ok(engine);
    if (departure === 'gone') directory.apply([], [engine.id]);
    else directory.apply([{ ...engine, state: 'draining' }], []);
    await advanceTime(setup, 5_000);
    assert.deepEqual(
      setup.engines.orders.filter(({ address }) => address === engine.address),
      [],
    );
  });
}

test('of two daemons that want a change only one sends orders', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  startController(setup, 'front-22');
  await advanceTime(setup, 20_000);
  assert.equal(new Set(setup.engines.orders.map((order) => order.holder)).size, 1);
  assert.ok(setup.engines.orders.length >= 2);
});

test('a holder that cannot renew its lease sends no orders after the lease has ended', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  await advanceTime(setup, 10_000);
  setup.table.isDown = true;
  await advanceTime(setup, LEASE_MS);
  const ordersAtEnd = setup.engines.orders.length;
  await advanceTime(setup, 10_000);
  assert.equal(setup.engines.orders.length, ordersAtEnd);
});

test('a holder whose machine was suspended past the end of its lease sends no order under it', async () => {
  // By the steady clock, which does not include the suspension, the lease would seem to be still valid.
  const setup = setUp();
  startController(setup, 'front-1');
  while (setup.notices.length === 0) await advanceTime(setup, 50);
  assert.equal(setup.engines.orders.length, 0, 'an engine is drained before it is ordered');
  setup.table.isDown = true;
  setup.suspendedMs = LEASE_MS;
  await advanceTime(setup, 2_000);
  assert.equal(setup.engines.orders.length, 0);
});

test('after a holder has stopped, the next one waits for the end of its lease and takes the next epoch', async () => {
  const setup = setUp();
  const first = startController(setup, 'front-1');
  // The first controller is stopped after its first order, while more changes are wanted.
  while (setup.engines.orders.length === 0) await advanceTime(setup, 50);
  first.stop();
  startController(setup, 'front-22');
  const before = setup.engines.orders.length;
  await advanceTime(setup, 15_000);
  const later = setup.engines.orders.slice(before);
  assert.ok(later.length > 0);
  assert.deepEqual(
    new Set(later.map((order) => `${order.holder} ${order.fence}`)),
    new Set(['front-22 2']),
  );
});

test('while the store is unavailable no orders are sent', async () => {
  const setup = setUp();
  setup.table.isDown = true;
  startController(setup, 'front-1');
  await advanceTime(setup, 15_000);
  assert.deepEqual(setup.engines.orders, []);
});

const LOST_IDS = ['e6', 'e7'];

/** Makes two of the eight engines the only decode engines, and both unreachable. */
function loseAllDecodeEngines(setup: Setup): void {
  for (const record of [...setup.fleet.directory.all()]) {
    const stage = LOST_IDS.includes(record.id) ? 'decode' : 'prefill';
    setup.fleet.directory.apply([{ ...record, stage }], []);
    setup.engines.setStage(record.address, stage);
  }
  for (const id of LOST_IDS) setup.fleet.healthOf(id).recordConnectUnanswered(setup.timers.nowMs());
}

/** Advances the time while every attempt to reach the lost engines fails. */
async function advanceTimeWhileLost(setup: Setup, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += 200) {
    for (const id of LOST_IDS)
      setup.fleet.healthOf(id).recordConnectUnanswered(setup.timers.nowMs());
    await advanceTime(setup, 200);
  }
}

test('when all decode engines are lost, prefill engines are ordered to decode at once', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  // Recovery has to follow right after a load-driven order, without waiting for the usual time between orders.
  while (setup.engines.orders.length === 0) await advanceTime(setup, 50);
  const before = setup.engines.orders.length;
  loseAllDecodeEngines(setup);
  await advanceTimeWhileLost(setup, 1_600);
  const recoveryOrders = setup.engines.orders
    .slice(before)
    .filter(({ stage }) => stage === 'decode');
  assert.equal(recoveryOrders.length, 3);
  assert.equal(new Set(recoveryOrders.map(({ address }) => address)).size, 3);
  const generating = setup.fleet
    .candidates('reader', setup.timers.nowMs())
    .filter(({ stage }) => stage === 'decode');
  assert.equal(generating.length, 3);
});

test('decode engines that are unreachable only for a moment cause no orders', async () => {
  const setup = setUp();
  startController(setup, 'front-1');
  await advanceTime(setup, 250);
  loseAllDecodeEngines(setup);
  setup.timers.advance(250);
  for (const id of LOST_IDS) setup.fleet.healthOf(id).recordReached();
  for (const id of LOST_IDS) setup.fleet.healthOf(id).recordSuccess(1);
  await advanceTime(setup, 500);
  assert.deepEqual(setup.engines.orders, []);
});

test('when the lease holder and all decode engines are lost, another daemon restores the decode stage', async () => {
  const setup = setUp();
  const first = startController(setup, 'front-1');
  while (setup.engines.orders.length === 0) await advanceTime(setup, 50);
  first.stop();
  startController(setup, 'front-22');
  await advanceTime(setup, 250);
  const before = setup.engines.orders.length;
  loseAllDecodeEngines(setup);
  await advanceTimeWhileLost(setup, LEASE_MS + 3_000);
  const recoveryOrders = setup.engines.orders
    .slice(before)
    .filter(({ stage }) => stage === 'decode');
  assert.ok(recoveryOrders.length >= 3);
  assert.deepEqual(new Set(recoveryOrders.map(({ fence }) => fence)), new Set([2]));
});

test('the decode stage is restored only once the store is available, as no order can be fenced before', async () => {
  const setup = setUp();
  setup.table.isDown = true;
  startController(setup, 'front-1');
  await advanceTime(setup, 250);
  loseAllDecodeEngines(setup);
  await advanceTimeWhileLost(setup, 4_000);
  assert.deepEqual(setup.engines.orders, []);
  setup.table.isDown = false;
  await advanceTimeWhileLost(setup, 4_000);
  assert.equal(setup.engines.orders.filter(({ stage }) => stage === 'decode').length, 3);
});

test('prefill engines that are listed before the decode engines are not ordered to decode', async () => {
  const setup = setUp();
  const all = [...setup.fleet.directory.all()];
  setup.fleet.directory.replaceAll(all.slice(0, 1));
  setup.engines.setStage(all[0]?.address ?? '', 'prefill');
  startController(setup, 'front-1');
  for (let passedMs = 0; passedMs < 3_000; passedMs += 250) {
    setup.timers.advance(250);
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.deepEqual(setup.engines.orders, []);
});

test('a daemon that may not order sends no orders', async () => {
  const setup = setUp();
  startController(setup, 'front-1', () => false);
  await advanceTime(setup, 250);
  loseAllDecodeEngines(setup);
  await advanceTimeWhileLost(setup, 4_000);
  assert.deepEqual(setup.engines.orders, []);
});

const RELEASED_IDS = ['e3', 'e4', 'e5'];

/** Lets three engines have other software, of which only e5 decodes. */
function releaseOtherVersion({ fleet, engines }: Setup): void {
  for (const record of [...fleet.directory.all()]) {
    if (!RELEASED_IDS.includes(record.id)) continue;
    const stage = record.id === 'e5' ? 'decode' : 'prefill';
    fleet.directory.apply([{ ...record, stage, softwareVersion: 'v2' }], []);
    engines.setStage(record.address, stage);
  }
}

/** Advances the time without any request, so that no change is wanted for the load. */
async function advanceWithoutLoad({ timers }: Setup, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += 50) {
    timers.advance(50);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('when a software version loses its decode engines, one of its prefill engines is ordered to decode, though others decode', async () => {
  const setup = setUp();
  releaseOtherVersion(setup);
  startController(setup, 'front-1');
  await advanceWithoutLoad(setup, 1_000);
  assert.deepEqual(setup.engines.orders, []);
  setup.fleet.directory.apply([], ['e5']);
  await advanceWithoutLoad(setup, 2_000);
  const ordered = setup.engines.orders.map(({ address, stage }) => `${address} ${stage}`);
  assert.equal(ordered.length, 1);
  assert.ok(['10.0.0.3:1 decode', '10.0.0.4:1 decode'].includes(ordered[0] ?? ''));
});

test('a software version that has had no decode engine for as long as a stream lives gets none', async () => {
  const setup = setUp();
  releaseOtherVersion(setup);
  setup.table.isDown = true;
  startController(setup, 'front-1');
  await advanceWithoutLoad(setup, 1_000);
  setup.fleet.directory.apply([], ['e5']);
  await advanceWithoutLoad(setup, 3 * ROUTE_TIMEOUT_MS + 1_000);
  setup.table.isDown = false;
  await advanceWithoutLoad(setup, 3_000);
  assert.deepEqual(setup.engines.orders, []);
});

const BORN_MS = 1_800_000_000_000;

/** Sets the start time of all listed engines. */
function setListedBornMs({ fleet }: Setup, bornMs: number): void {
  fleet.directory.replaceAll([...fleet.directory.all()].map((engine) => ({ ...engine, bornMs })));
}

test('an engine that reports a later start than the listed one is not ordered', async () => {
  const setup = setUp();
  setListedBornMs(setup, BORN_MS);
  setup.engines.bornMs = BORN_MS + 1;
  const controller = startController(setup, 'front-1');
  await advanceTime(setup, 10_000);
  assert.ok(setup.notices.length > 0);
  assert.deepEqual(setup.engines.orders, []);
  setup.engines.bornMs = BORN_MS;
  await advanceTime(setup, 10_000);
  assert.ok(setup.engines.orders.length > 0);
  controller.stop();
});

test('an engine that restarts while it is drained is not ordered, and the notice on it is forgotten', async () => {
  const setup = setUp();
  setListedBornMs(setup, BORN_MS);
  const controller = startController(setup, 'front-1');
  while (setup.notices.length === 0) await advanceTime(setup, 50);
  const { directory } = setup.fleet;
  const engine = directory.get(setup.notices[0]?.engineId ?? '');
  assert.ok(engine);
  setup.fleet.forgetEndedBoots(directory.apply([{ ...engine, bornMs: BORN_MS + 1 }], []));
  await advanceTime(setup, 400);
  assert.deepEqual(
    setup.engines.orders.filter(({ address }) => address === engine.address),
    [],
  );
  const nowMs = setup.timers.nowMs();
  assert.ok(setup.fleet.candidates('reader', nowMs).some(({ id }) => id === engine.id));
  controller.stop();
});

const LEASE_KEY = 'lease/engine-stages';
const EPOCH_KEY = 'epoch/engine-stages';
const LEASE_ROW = { holder: 'other', incarnation: 1, epoch: 1, durationMs: LEASE_MS, renewals: 0 };

const ODD_LEASE_ROWS: readonly (readonly [string, string, unknown])[] = [
  ['an epoch that is a text', LEASE_KEY, { ...LEASE_ROW, epoch: 'abc' }],
  ['a duration beyond all', LEASE_KEY, { ...LEASE_ROW, durationMs: 1e300 }],
  ['no fields', LEASE_KEY, []],
  ['an epoch row with the last whole number', EPOCH_KEY, { epoch: Number.MAX_SAFE_INTEGER }],
  ['an epoch row with a number too large', EPOCH_KEY, { epoch: 1e300 }],
];

for (const [problem, key, value] of ODD_LEASE_ROWS) {
  // Guards against orders whose fencing token is no number or no longer rises, and against a lease that never ends.
  test(`a lease with ${problem} is not taken, and is once that row is gone`, async () => {
    const setup = setUp();
    setup.table.put(key, value);
    startController(setup, 'front-1');
    await advanceTime(setup, 10_000);
    assert.deepEqual(setup.engines.orders, []);
    setup.table.put(key, null);
    await advanceTime(setup, 10_000);
    assert.ok(setup.engines.orders.length > 0);
    assert.ok(setup.engines.orders.every(({ fence }) => Number.isSafeInteger(fence)));
  });
}
