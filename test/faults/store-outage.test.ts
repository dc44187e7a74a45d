/** The platform's store loses responses or is down while real daemon processes serve. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { ChangeOutcome } from '../../src/core/configuration/change-outcome.js';
import type { Outcome } from '../../src/lab/load/index.js';
import { sendOrder, Traffic } from './support/caller.js';
import { eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';

const CALLERS = 4;
const LOSE_EVERY_WRITE_ANSWER = {
  table: { loseAnswers: { kind: 'random', probability: 1, seed: 1 }, writesOnly: true },
};
const LOSE_NOTHING = { table: { loseAnswers: { kind: 'none' }, writesOnly: false } };
const ALL_DOWN = {
  table: { down: true },
  objects: { down: true },
  weights: { down: true },
  machines: { down: true },
};
const ALL_UP = {
  table: { down: false },
  objects: { down: false },
  weights: { down: false },
  machines: { down: false },
};
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start({
    pools: { a: ['a1', 'a2'] },
    webs: ['orders-1'],
    daemons: ['d1', 'd2'],
  });
});
after(() => fleet?.end());

async function versionInForce(): Promise<number> {
  return (await fleet.status(fleet.daemon('d1'))).configurationVersion;
}

/** Sends a change while every response to a write is lost; resolves once the table contains the change. */
async function changeWithLostAnswer(id: string, share: string): Promise<Promise<ChangeOutcome>[]> {
  await fleet.platformFaults(LOSE_EVERY_WRITE_ANSWER);
  const outcome = fleet.change(fleet.daemon('d1'), `set share of class interactive to ${share}`, {
    id,
  });
  await eventuallyTrue(`change ${id} to be recorded`, async () => {
    return (await fleet.tableRow(`change/${id}`)) !== null;
  });
  return [outcome];
}

/** Sends a change again under its id to each daemon; it must be reported as applied under the version. */
async function assertSettled(id: string, share: string, version: number): Promise<void> {
  for (const daemon of fleet.parts.daemons) {
    const text = `set share of class interactive to ${share}`;
    const again = await fleet.change(daemon, text, { id });
    assert.equal(again.kind, 'applied', JSON.stringify(again));
    assert.ok(again.kind === 'applied' && again.version === version);
    assert.equal((await fleet.status(daemon)).configurationVersion, version);
  }
  const rows = await fleet.query(fleet.daemon('d2'), `changes where id = "${id}"`);
  assert.deepEqual(
    rows.map((row) => row.version),
    [version],
  );
}

test('a change takes effect once, and is reported as applied, if the response of the store was lost', async () => {
  const version = await versionInForce();
  const [outcome] = await changeWithLostAnswer('lost-1', '0.9');
  await fleet.platformFaults(LOSE_NOTHING);
  const finalOutcome = await outcome;
  assert.ok(
    finalOutcome?.kind === 'applied' || finalOutcome?.kind === 'unknown',
    JSON.stringify(finalOutcome),
  );
  await assertSettled('lost-1', '0.9', version + 1);
});

test('while the store is down, traffic goes on, and changes and keyed orders are refused without running', async () => {
  const version = await versionInForce();
  const [lost] = await changeWithLostAnswer('lost-2', '0.8');
  await fleet.platformFaults({ ...ALL_DOWN, ...{ table: { ...LOSE_NOTHING.table, down: true } } });
  const load = new Traffic(() => fleet.parts.daemons, CALLERS);
  const refused = await fleet.change(fleet.daemon('d2'), 'drain a1', { id: 'while-down' });
  assert.ok(refused.kind === 'refused', JSON.stringify(refused));
  assert.equal(refused.fault.code, 'store-unavailable');
  assertRefused(await sendOrder(fleet.daemon('d1'), 'down-1').outcome);
  assert.equal(await fleet.orderRuns('down-1'), 0);
  await eventuallyTrue('every lease to expire', async () => {
    const held = await Promise.all(
      fleet.parts.daemons.map((daemon) => fleet.metric(daemon, 'threadfork_lease_epoch')),
    );
    return held.every((epoch) => epoch === null);
  });
  await load.waitForFinished(10 * CALLERS);
  const finalOutcome = await lost;
  assert.equal(finalOutcome?.kind, 'unknown', JSON.stringify(finalOutcome));
  await load.waitForFinished(CALLERS);
  await load.stop();
  // Only orders with an Idempotency-Key need the store; all other calls must have finished.
  for (const outcome of load.others) assertRefused(outcome);
  await fleet.platformFaults(ALL_UP);
  await assertResumed(version + 1);
});

/** Everything that needs the store works again without intervention. */
async function assertResumed(version: number): Promise<void> {
  await assertSettled('lost-2', '0.8', version);
  assert.equal(await fleet.tableRow('change/while-down'), null);
  await eventuallyTrue('the refused order to be taken', async () => {
    return (await sendOrder(fleet.daemon('d2'), 'down-1').outcome).kind === 'finished';
  });
  assert.equal(await fleet.orderRuns('down-1'), 1);
  await fleet.apply(fleet.daemon('d2'), 'ask role decode for a1');
  await eventuallyTrue('a1 to change role', async () => {
    const { role, intake } = await fleet.report(fleet.engine('a1'));
    return role === 'decode' && intake === 'open';
  });
  const load = new Traffic(() => fleet.parts.daemons, CALLERS);
  await load.waitForFinished(5 * CALLERS);
  await load.stop();
  assert.deepEqual(load.others, []);
}

function assertRefused(outcome: Outcome): void {
  assert.equal(outcome.kind, 'refused', JSON.stringify(outcome));
  assert.equal(outcome.kind === 'refused' && outcome.code, 'store-unavailable');
}
