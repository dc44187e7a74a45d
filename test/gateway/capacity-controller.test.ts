/** The capacity controller: how it answers a loss of servers, what it logs, and that this can be switched off. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CapacityOrder } from '../../src/core/capacity/index.js';
import type { ServerRecord } from '../../src/core/gateway/index.js';
import { CapacityController } from '../../src/shell/gateway/capacity-controller.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { ManualTimers } from './support/manual-timers.js';
import { MemoryTable } from './support/memory-table.js';

const BOOT_MS = 4_000;
const ZONES = ['a', 'b', 'c'];
const SPOT_TAKEN = 6081;
const PLANNED = 6080;

interface Setup {
  readonly timers: ManualTimers;
  readonly fleet: FleetView;
  readonly orders: CapacityOrder[];
  readonly events: number[];
  readonly controller: CapacityController;
}

function serversOf(zone: string, state: ServerRecord['state']): ServerRecord[] {
  return Array.from({ length: 14 }, (_, index) => ({
    id: `${zone}${index}`,
    service: 'reader',
    address: `10.0.0.${index}:1`,
    zone,
    slots: 8,
    state,
    isSpot: index > 0,
    stage: index % 3 === 0 ? 'prefill' : 'decode',
  }));
}

function setUp(toleratesZoneLoss: boolean, spotPrice = 0.18): Setup {
  const timers = new ManualTimers();
  const fleet = new FleetView({ ratio: 0.2, slack: 48 });
  const scaling = {
    min: 1,
    max: 40,
    bootMs: BOOT_MS,
    spotPrice,
    zonePrices: new Map(ZONES.map((zone) => [zone, 1])),
  };
  const services = new Map([['reader', { name: 'reader', engine: undefined, scaling }]]);
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  fleet.applyConfiguration(
    { version: 1, routes: [], tenants: undefined, services, limits },
    timers.nowMs(),
  );
  fleet.directory.apply(
    ZONES.flatMap((zone) => serversOf(zone, 'ready')),
    [],
  );
  const orders: CapacityOrder[] = [];
  const events: number[] = [];
  const controller = new CapacityController({
    daemon: 'front-1',
    incarnation: 1,
    leaseMs: 3_000,
    toleratesZoneLoss,
    fleet,
    duties: {
      reportUsage: () => Promise.resolve({ kind: 'accepted' }),
      orderCapacity: (order) => {
        orders.push(order);
        return Promise.resolve({ kind: 'accepted' });
      },
    },
    table: new MemoryTable(),
    mayOrder: () => true,
    timers,
    leaseTimers: timers,
    log: { write: ({ number }) => void events.push(number) },
  });
  return { timers, fleet, orders, events, controller };
}

async function advanceTime({ timers }: Setup, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += 50) {
    timers.advance(50);
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
}

async function setUpSettled(toleratesZoneLoss: boolean, spotPrice?: number): Promise<Setup> {
  const setup = setUp(toleratesZoneLoss, spotPrice);
  void setup.controller.run();
  await advanceTime(setup, BOOT_MS + 2_500);
  return setup;
}

test('replacements for draining spot servers of a zone are ordered in other zones within half a second', async () => {
  const setup = await setUpSettled(true);
  const before = setup.orders.length;
  setup.fleet.directory.apply(
    serversOf('a', 'draining').filter(({ isSpot }) => isSpot),
    [],
  );
  await advanceTime(setup, 500);
  const answers = setup.orders.slice(before);
  setup.controller.stop();
  assert.ok(answers.length > 0);
  assert.ok(answers.every(({ zone, isSpot, servers }) => zone !== 'a' && isSpot && servers > 14));
  assert.ok(setup.events.includes(SPOT_TAKEN));
  assert.ok(setup.events.includes(PLANNED));
  const [belief] = setup.controller.summaries;
  assert.equal(
    belief?.wanted,
    63,
    'before any work was measured, with enough spare servers for the loss of a zone',
  );
  assert.deepEqual(belief?.zonesWithoutSpot, ['a']);
  assert.ok((belief?.coming ?? 0) >= 12);
});

test('with spare capacity switched off, lost servers are not replaced in other zones and no plan is logged', async () => {
  const setup = await setUpSettled(false);
  setup.fleet.directory.apply(
    serversOf('a', 'draining').filter(({ isSpot }) => isSpot),
    [],
  );
  const before = setup.orders.length;
  await advanceTime(setup, 500);
  setup.controller.stop();
  assert.deepEqual(
    setup.orders.slice(before).filter(({ zone }) => zone !== 'a'),
    [],
  );
  assert.ok(!setup.events.includes(PLANNED));
  assert.deepEqual(setup.controller.summaries, []);
});

test('if spot servers are no cheaper, the same orders are placed with spare capacity on and off', async () => {
  const [on, off] = [await setUpSettled(true, 1), await setUpSettled(false, 1)];
  on.controller.stop();
  off.controller.stop();
  assert.ok(off.orders.every(({ isSpot, servers }) => !isSpot || servers === 0));
  assert.deepEqual(on.orders, off.orders);
  assert.deepEqual(on.controller.summaries, []);
});
