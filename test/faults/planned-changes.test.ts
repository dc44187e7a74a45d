/** Planned changes under load, on real processes: no request is cut and every change takes effect. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import type { EngineRole, Machine } from '../../src/core/registry/backend.js';
import { getJson, postJson } from '../../src/lab/fleet/http-json.js';
import type { RunningBackend } from '../../src/lab/fleet/running-fleet.js';
import { MachineRegistration } from '../../src/lab/platform/index.js';
import { type RunningCall, sendModelRequest, Traffic } from './support/caller.js';
import { eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';
import { MODEL, SECOND_VERSION } from './support/fleet-definition.js';

const CALLERS = 6;
const ENGINES = ['a1', 'a2', 'b1', 'b2'];
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start({
    pools: { a: ['a1', 'a2'], b: ['b1', 'b2'] },
    webs: ['orders-1', 'orders-2'],
    daemons: ['d1', 'd2', 'd3'],
  });
});
after(() => fleet?.end());

function traffic(): Traffic {
  return new Traffic(() => fleet.parts.daemons, CALLERS);
}

/** Stops the traffic; every call must have got its complete, correct response, and no engine may have cut one. */
async function endUncut(load: Traffic): Promise<void> {
  await load.stop();
  assert.deepEqual(load.others, []);
  assert.equal(await fleet.cutAttempts(), 0);
}

async function hasRole(engine: string, role: EngineRole): Promise<boolean> {
  const report = await fleet.report(fleet.engine(engine));
  return report.role === role && report.intake === 'open' && !report.busy;
}

async function holdsOnly(engine: string, version: string): Promise<boolean> {
  const { models, intake } = await fleet.report(fleet.engine(engine));
  return intake === 'open' && models.length === 1 && models[0]?.version === version;
}

test('a role change cuts no request and takes effect', async () => {
  const load = traffic();
  await load.waitForFinished(CALLERS);
  await fleet.apply(
    fleet.daemon('d1'),
    'begin; ask role decode for a1; ask role decode for b1; commit',
  );
  await eventuallyTrue('both engines to change role', async () => {
    return (await hasRole('a1', 'decode')) && (await hasRole('b1', 'decode'));
  });
  await load.waitForFinished(CALLERS);
  await endUncut(load);
});

test('a model roll cuts no request and takes effect on every engine', async () => {
  const load = traffic();
  await load.waitForFinished(CALLERS);
  await fleet.apply(fleet.daemon('d2'), `roll model ${MODEL} to ${SECOND_VERSION}`);
  await eventuallyTrue('every engine to hold the new version alone', async () => {
    const held = await Promise.all(ENGINES.map((engine) => holdsOnly(engine, SECOND_VERSION)));
    return held.every((isHeld) => isHeld);
  });
  await load.waitForFinished(CALLERS);
  await endUncut(load);
});

test('of two concurrent changes one is applied and the other is refused with the newer version', async () => {
  for (const share of ['0.5', '0.6', '0.7']) {
    const { configurationVersion: seen } = await fleet.status(fleet.daemon('d1'));
    const outcomes = await Promise.all(
      ['d1', 'd2'].map((name) =>
        fleet.change(fleet.daemon(name), `set share of class interactive to ${share}`, {
          ifVersion: seen,
        }),
      ),
    );
    const applied = outcomes.filter((outcome) => outcome.kind === 'applied');
    assert.equal(applied.length, 1, JSON.stringify(outcomes));
    const refused = outcomes.find((outcome) => outcome.kind === 'refused');
    assert.ok(refused?.kind === 'refused', JSON.stringify(outcomes));
    assert.equal(refused.fault.code, 'version-conflict');
    assert.equal(refused.currentVersion, seen + 1);
    for (const daemon of fleet.parts.daemons) {
      assert.equal((await fleet.status(daemon)).configurationVersion, seen + 1, daemon.name);
    }
  }
});

/** How long after its departure is announced a backend may still get new work. */
const NO_NEW_WORK_AFTER_MS = 3_000;
const LONG_ANSWER_TOKENS = 1_000;

/** Opens streams until at least one runs on each of the engines. */
async function streamsOnEach(engines: readonly string[]): Promise<RunningCall[]> {
  const streams: RunningCall[] = [];
  const reached = new Set<string>();
  while (!engines.every((engine) => reached.has(engine))) {
    const daemon = fleet.parts.daemons[streams.length % fleet.parts.daemons.length];
    assert.ok(daemon !== undefined && streams.length < 40, '40 streams did not reach every engine');
    const stream = sendModelRequest(daemon, { streamed: true, outputTokens: LONG_ANSWER_TOKENS });
    streams.push(stream);
    reached.add((await fleet.engineRunning(await stream.received(1))).name);
  }
  return streams;
}

async function attemptsTaken(engine: RunningBackend): Promise<number> {
  const { counts } = await fleet.ledger(engine);
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** Marks an engine as leaving on the machine list; resolves once the list shows it. */
async function listAsLeaving({ name, endpoint, zone }: RunningBackend): Promise<void> {
  const platform = fleet.parts.platform;
  const base = { kind: 'engine', name, zone, accelerator: 'new', pool: 'b' } as const;
  await new MachineRegistration(platform).put({ ...base, ...endpoint, state: 'leaving' });
  await eventuallyTrue(`${name} to be listed as leaving`, async () => {
    const { machines } = (await getJson(platform, '/machines')).json as { machines: Machine[] };
    return machines.some((machine) => machine.name === name && machine.state === 'leaving');
  });
}

test('a leaving backend gets no new work after 3 s and completes its running requests', async () => {
  const [byReport, byList, byCommand] = ['a2', 'b1', 'b2'].map((name) => fleet.engine(name));
  const web = fleet.web('orders-2');
  assert.ok(byReport && byList && byCommand);
  const load = traffic();
  const streams = await streamsOnEach(['a2', 'b1', 'b2']);
  await postJson(byReport.endpoint, '/leave', {});
  await postJson(web.endpoint, '/leave', {});
  await listAsLeaving(byList);
  await fleet.apply(fleet.daemon('d3'), 'drain b2');
  await wait(NO_NEW_WORK_AFTER_MS);
  const leaving = [byReport, byList, byCommand];
  const before = await Promise.all(leaving.map(attemptsTaken));
  const ordersBefore = await fleet.ordersTaken(web);
  await load.waitForFinished(10 * CALLERS);
  assert.deepEqual(await Promise.all(leaving.map(attemptsTaken)), before);
  assert.equal(await fleet.ordersTaken(web), ordersBefore);
  const outcomes = await Promise.all(streams.map((stream) => stream.outcome));
  assert.deepEqual(new Set(outcomes.map(({ kind }) => kind)), new Set(['finished']));
  await endUncut(load);
});

test('a drained engine gets work again after it is returned', async () => {
  const engine = fleet.engine('b2');
  const before = await attemptsTaken(engine);
  await fleet.apply(fleet.daemon('d1'), 'return b2');
  const load = traffic();
  await eventuallyTrue('new work for b2', async () => (await attemptsTaken(engine)) > before);
  await endUncut(load);
});
