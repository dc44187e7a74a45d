/** A real daemon process is stopped with SIGTERM under load: no request is cut. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { RunningDaemonPart } from '../../src/lab/fleet/running-fleet.js';
import type { Outcome } from '../../src/lab/load/index.js';
import {
  KeptConnection,
  type RunningCall,
  sendModelRequest,
  sendOrder,
  Traffic,
} from './support/caller.js';
import { eventually, eventuallyTrue } from './support/eventually.js';
import { FaultFleet } from './support/fault-fleet.js';
import { SMALL_FLEET } from './support/fleet-definition.js';

const CALLERS = 4;
const LONG_ANSWER_TOKENS = 400;
let fleet: FaultFleet;

before(async () => {
  fleet = await FaultFleet.start(SMALL_FLEET);
});
after(() => fleet?.end());

async function outcomesOf(calls: readonly RunningCall[]): Promise<Outcome[]> {
  return Promise.all(calls.map((call) => call.outcome));
}

function others(outcomes: readonly Outcome[]): Outcome[] {
  return outcomes.filter(({ kind }) => kind !== 'finished');
}

/** A well-behaved caller: sends calls on new connections while the daemon reports that it is ready. */
async function callWhileReady(daemon: RunningDaemonPart): Promise<Outcome[]> {
  const calls: RunningCall[] = [];
  while (await fleet.isReady(daemon).catch(() => false)) {
    calls.push(sendModelRequest(daemon, { streamed: calls.length % 2 === 0, outputTokens: 20 }));
  }
  return outcomesOf(calls);
}

async function assertStopped(daemon: RunningDaemonPart): Promise<void> {
  assert.deepEqual(await daemon.process.exited, { code: 0, signal: null });
}

test('a daemon that is stopped cuts no request, exits with 0 and releases its lease', async () => {
  const stopping = await fleet.leaseHolder('a');
  const { epoch } = await fleet.lease('a');
  const load = new Traffic(() => fleet.otherDaemons(stopping.name), CALLERS);
  const running = [true, false, true, false].map((streamed) =>
    sendModelRequest(stopping, { streamed, outputTokens: LONG_ANSWER_TOKENS }),
  );
  const orders = ['stop-1', 'stop-2'].map((key, place) => sendOrder(stopping, key, place === 0));
  await eventuallyTrue('all requests to run', async () => {
    return (await fleet.status(stopping)).requestsRunning >= running.length;
  });
  const callers = [callWhileReady(stopping), callWhileReady(stopping)];
  stopping.process.signal('SIGTERM');
  assert.deepEqual(others(await outcomesOf([...running, ...orders])), []);
  assert.deepEqual(others((await Promise.all(callers)).flat()), []);
  await assertStopped(stopping);
  assert.notEqual((await fleet.lease('a')).holder, stopping.name);
  const next = await eventually('another holder of the lease', async () => {
    const lease = await fleet.lease('a');
    return lease.holder === null ? null : lease;
  });
  assert.ok(next.epoch > epoch);
  await load.waitForFinished(CALLERS);
  await load.stop();
  assert.deepEqual(load.others, []);
  await fleet.parts.restartDaemon(stopping.name);
});

test('a request on an open connection of a stopping daemon gets its complete response', async () => {
  const stopping = fleet.daemon('d2');
  await eventuallyTrue('d2 to be ready', () => fleet.isReady(stopping));
  const connections = Array.from({ length: 6 }, () => new KeptConnection(stopping));
  const opened = connections.map((each) =>
    each.sendModelRequest({ streamed: false, outputTokens: 1 }),
  );
  assert.deepEqual(others(await outcomesOf(opened)), []);
  stopping.process.signal('SIGTERM');
  await eventuallyTrue(
    'd2 to stop',
    async () => (await fleet.status(stopping)).state === 'stopping',
  );
  // Between two short requests the daemon has no open request. It must not take its stop for complete then and cut the
  // long request that follows.
  for (const [place, connection] of connections.entries()) {
    const outputTokens = place + 1 < connections.length ? 1 : LONG_ANSWER_TOKENS;
    const call = connection.sendModelRequest({ streamed: true, outputTokens });
    assert.deepEqual(others([await call.outcome]), []);
  }
  await assertStopped(stopping);
});
