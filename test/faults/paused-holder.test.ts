/** A real daemon process that holds a lease is paused until the lease has expired, and is resumed. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { IntentRow, Order, OrderAnswer } from '../../src/core/orders/index.js';
import { postJson } from '../../src/lab/fleet/http-json.js';
import type { RunningBackend } from '../../src/lab/fleet/running-fleet.js';
import { sendModelRequest, Traffic } from './support/caller.js';
import { eventually, eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';
import { SMALL_FLEET } from './support/fleet-definition.js';

const CALLERS = 3;
const STALL_MS = 600_000;
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start(SMALL_FLEET);
});
after(() => fleet?.end());

/** Sends an order with the fence of the given epoch, as a delayed order of a former lease holder. */
async function sendOldOrder(engine: RunningBackend, epoch: number): Promise<OrderAnswer> {
  const { boot } = await fleet.report(engine);
  const order: Order = {
    id: `late-${epoch}`,
    engine: engine.name,
    boot,
    fence: { epoch, sequence: 1_000 },
    action: { kind: 'set-role', role: 'prefill' },
    onlyIfIdle: false,
  };
  return (await postJson(engine.endpoint, '/control/orders', order)).json as OrderAnswer;
}

async function intent(): Promise<IntentRow> {
  return (await fleet.tableRow('intent/a1'))?.value as IntentRow;
}

test('a lease holder that is paused until its lease expires is replaced, and orders of its epoch are refused', async () => {
  const paused = await fleet.leaseHolder('a');
  const [survivor] = fleet.otherDaemons(paused.name);
  assert.ok(survivor);
  const { epoch } = await fleet.lease('a');
  const [a1, a2] = [fleet.engine('a1'), fleet.engine('a2')];
  // The stalled request keeps a drain in progress while the holder is paused.
  await fleet.backendFaults(a1, { faults: [{ kind: 'stall', afterTokens: 1, forMs: STALL_MS }] });
  const holding = sendModelRequest({ callers: a1.endpoint }, { streamed: true, outputTokens: 50 });
  await holding.received(1);
  await fleet.apply(paused, 'ask role decode for a1');
  await eventuallyTrue('a1 to be closed', async () => (await fleet.report(a1)).intake === 'closed');
  const pending = await intent();
  paused.process.signal('SIGSTOP');

  const change = fleet.change(survivor, 'set share of class interactive to 0.7', { id: 'paused' });
  const next = await eventually('another holder of the lease', async () => {
    const lease = await fleet.lease('a');
    return lease.holder === paused.name || lease.holder === null ? null : lease;
  });
  assert.ok(next.epoch > epoch);
  for (const engine of [a1, a2]) await fleet.waitUntilFenced(engine, next.epoch);
  const recorded = await change;
  assert.ok(recorded.kind === 'unknown', JSON.stringify(recorded));
  assert.deepEqual(recorded.waitingFor, [paused.name]);

  paused.process.signal('SIGCONT');
  await eventuallyTrue('the resumed daemon to give up the lease', async () => {
    for (const engine of [a1, a2]) await assertEpoch(engine, next.epoch);
    return (await fleet.metric(paused, 'threadfork_lease_epoch')) === null;
  });
  for (const engine of [a1, a2]) {
    const answer = await sendOldOrder(engine, epoch);
    assert.equal(answer.kind === 'refused' && answer.reason, 'stale-fence');
  }
  holding.leave();
  await eventuallyTrue('the order to be settled', async () => (await intent()).phase === 'settled');
  const { orderId, outcome, epoch: settledUnder } = await intent();
  assert.deepEqual(
    { orderId, outcome, settledUnder },
    { orderId: pending.orderId, outcome: 'done', settledUnder: next.epoch },
  );
  for (const engine of [a1, a2]) await assertEpoch(engine, next.epoch);
  assert.equal((await fleet.report(a1)).role, 'decode');
  assert.equal((await fleet.report(a2)).role, 'mixed');
  assert.equal(await fleet.cutAttempts(), 0);
});

/** The engine's fence has the epoch, and its last order is not of the epoch before. */
async function assertEpoch(engine: RunningBackend, epoch: number): Promise<void> {
  const { fence, lastOrder } = await fleet.report(engine);
  assert.equal(fence?.epoch, epoch);
  assert.ok(lastOrder === null || !lastOrder.id.startsWith(`${engine.name}.${epoch - 1}.`));
}

test('the resumed daemon serves again and has the configuration that was recorded during its pause', async () => {
  const again = await eventually('the change to be applied on all daemons', async () => {
    const daemon = fleet.daemon('d1');
    const text = 'set share of class interactive to 0.7';
    const outcome = await fleet.change(daemon, text, { id: 'paused' });
    return outcome.kind === 'applied' ? outcome : null;
  });
  for (const daemon of fleet.parts.daemons) {
    assert.equal((await fleet.status(daemon)).configurationVersion, again.version, daemon.name);
  }
  const load = new Traffic(() => fleet.parts.daemons, CALLERS);
  await load.waitForFinished(5 * CALLERS);
  await load.stop();
  assert.deepEqual(load.others, []);
});
