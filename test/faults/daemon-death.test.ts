/** Real daemon processes are killed: other daemons take over their leases and duties, and no request runs twice. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { IntentRow } from '../../src/core/orders/index.js';
import type { RunningDaemonPart } from '../../src/lab/fleet/running-fleet.js';
import { sendModelRequest, sendOrder, Traffic } from './support/caller.js';
import { eventually, eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';
import { SMALL_FLEET } from './support/fleet-definition.js';

const CALLERS = 4;
const STALL_MS = 600_000;
const TOKENS_BEFORE_STALL = 10;
const ANSWER_TOKENS = 50;
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start(SMALL_FLEET);
});
after(() => fleet?.end());

function survivorOf(daemon: RunningDaemonPart): RunningDaemonPart {
  const [survivor] = fleet.otherDaemons(daemon.name);
  assert.ok(survivor);
  return survivor;
}

async function restart(daemon: RunningDaemonPart): Promise<void> {
  const restarted = await fleet.parts.restartDaemon(daemon.name);
  await eventuallyTrue(`${daemon.name} to be ready`, () => fleet.isReady(restarted));
}

async function intentOf(engine: string): Promise<IntentRow | null> {
  return ((await fleet.tableRow(`intent/${engine}`))?.value ?? null) as IntentRow | null;
}

test("a killed daemon's streams end visibly broken and other daemons take over its duties", async () => {
  const killed = await fleet.leaseHolder('a');
  const survivor = survivorOf(killed);
  const { epoch } = await fleet.lease('a');
  const [a1, a2] = [fleet.engine('a1'), fleet.engine('a2')];
  const stall = { kind: 'stall', afterTokens: TOKENS_BEFORE_STALL, forMs: STALL_MS };
  // Each stall holds one answer: the first at a1 is for `holding`, and the stream may run at either engine.
  await fleet.backendFaults(a1, { faults: [stall, stall] });
  await fleet.backendFaults(a2, { faults: [stall] });
  // This request keeps a1 from completing its drain, so that the order stays pending.
  const holding = sendModelRequest(
    { callers: a1.endpoint },
    { streamed: true, outputTokens: ANSWER_TOKENS },
  );
  await holding.received(1);
  await fleet.apply(survivor, 'ask role decode for a1');
  const pending = await eventually('the order to be pending', () => intentOf('a1'));
  assert.equal(pending.epoch, epoch);
  await eventuallyTrue('a1 to be closed', async () => (await fleet.report(a1)).intake === 'closed');

  const stream = sendModelRequest(killed, { streamed: true, outputTokens: ANSWER_TOKENS });
  const request = await stream.received(TOKENS_BEFORE_STALL);
  const running = await fleet.engineRunning(request);
  killed.process.signal('SIGKILL');
  assert.equal((await stream.outcome).kind, 'cut');
  await fleet.waitUntilCancelled(running, `${request}.1`);
  await eventuallyTrue('others to watch the engines', async () => {
    const rows = await fleet.query(survivor, 'engines where granted = true');
    return rows.length === 2 && rows.every((row) => row.watcher !== killed.name);
  });
  const lease = await eventually('another holder of the lease', async () => {
    const { holder, ...rest } = await fleet.lease('a');
    return holder === killed.name ? null : rest;
  });
  assert.ok(lease.epoch > epoch);

  holding.leave();
  const settled = await eventually('the order to be settled', async () => {
    const row = await intentOf('a1');
    return row?.phase === 'settled' ? row : null;
  });
  assert.equal(settled.orderId, pending.orderId);
  assert.equal(settled.outcome, 'done');
  assert.equal(settled.epoch, lease.epoch);
  assert.equal((await fleet.report(a1)).role, 'decode');
  assert.equal(await fleet.cutAttempts(), 0);
  for (const engine of [a1, a2]) await fleet.backendFaults(engine, { faults: [], replace: true });
  await restart(killed);
});

test('an order sent through two daemons at once with one idempotency key runs at most once', async () => {
  const keys = Array.from({ length: 8 }, (_, n) => `twice-${n}`);
  const pairs = keys.map((key) => ['d1', 'd2'].map((name) => sendOrder(fleet.daemon(name), key)));
  for (const [place, calls] of pairs.entries()) {
    const outcomes = await Promise.all(calls.map((call) => call.outcome));
    const message = JSON.stringify(outcomes);
    assert.ok(
      outcomes.some(({ kind }) => kind === 'finished'),
      message,
    );
    for (const outcome of outcomes) {
      if (outcome.kind === 'finished') continue;
      assert.equal(outcome.kind === 'refused' && outcome.code, 'idempotency-in-progress', message);
    }
    assert.equal(await fleet.orderRuns(keys[place] ?? ''), 1);
  }
});

test('an order whose daemon was killed while it ran does not run again under its key', async () => {
  // The new incarnation of d1 may be killed before the other daemons have learned of it.
  fleet.daemon('d1').process.signal('SIGKILL');
  await restart(fleet.daemon('d1'));
  const killed = fleet.daemon('d1');
  const survivor = fleet.daemon('d2');
  await fleet.backendFaults(fleet.web('orders-1'), { kind: 'stall', forMs: STALL_MS });
  const first = sendOrder(killed, 'orphan');
  await eventuallyTrue('the order to run', async () => (await fleet.orderRuns('orphan')) === 1);
  killed.process.signal('SIGKILL');
  assert.equal((await first.outcome).kind, 'unknown');
  const final = await eventually('a final response to the retry', async () => {
    const outcome = await sendOrder(survivor, 'orphan').outcome;
    const isFinal = outcome.kind !== 'refused' || outcome.code !== 'idempotency-in-progress';
    return isFinal ? outcome : null;
  });
  assert.deepEqual(final, { kind: 'unknown', code: 'idempotency-outcome-unknown' });
  await restart(killed);
  assert.deepEqual(await sendOrder(fleet.daemon('d1'), 'orphan').outcome, final);
  assert.equal(await fleet.orderRuns('orphan'), 1);
});

/** Kills all daemons and restarts them at the same time. */
async function restartAll(): Promise<void> {
  const names = fleet.parts.daemons.map((daemon) => daemon.name);
  for (const daemon of fleet.parts.daemons) daemon.process.signal('SIGKILL');
  await Promise.all(names.map((name) => fleet.parts.restartDaemon(name)));
}

/** Waits until a daemon is ready; by then it must have the version or a later one. */
async function readyWith(daemon: RunningDaemonPart, version: number): Promise<void> {
  await eventuallyTrue(`${daemon.name} to be ready`, () => fleet.isReady(daemon));
  assert.ok((await fleet.status(daemon)).configurationVersion >= version, daemon.name);
}

test('daemons that restart at the same time are not ready before they have the configuration', async () => {
  const version = await fleet.apply(fleet.daemon('d2'), 'set share of class interactive to 0.5');
  await restartAll();
  await Promise.all(fleet.parts.daemons.map((daemon) => readyWith(daemon, version)));

  await fleet.platformFaults({ table: { down: true } });
  await restartAll();
  for (const daemon of fleet.parts.daemons) {
    await eventuallyTrue(`${daemon.name} to report the store as unreachable`, async () => {
      return (await fleet.status(daemon)).store === 'unreachable';
    });
    assert.equal(await fleet.isReady(daemon), false);
    const outcome = await sendModelRequest(daemon, { streamed: false, outputTokens: 1 }).outcome;
    assert.equal(outcome.kind, 'refused', JSON.stringify(outcome));
  }
  await fleet.platformFaults({ table: { down: false } });
  await Promise.all(fleet.parts.daemons.map((daemon) => readyWith(daemon, version)));
  const load = new Traffic(() => fleet.parts.daemons, CALLERS);
  await load.waitForFinished(CALLERS);
  await load.stop();
});
