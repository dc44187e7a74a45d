/** Servers that answer no connection: what one daemon finds out spares the others their time-outs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type ReachabilityNotice,
  ReachabilityNoticeFilter,
  ServerHealth,
  type ServerRecord,
} from '../../src/core/gateway/index.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';

const silent = (by: string): ReachabilityNotice => ({ serverId: 's', by, isReachable: false });
const back = (by: string): ReachabilityNotice => ({ serverId: 's', by, isReachable: true });

test('a silent server is passed over, then tried by one call at a time', () => {
  const health = new ServerHealth();
  health.recordConnectUnanswered(0);
  assert.equal(health.isUnreachable(100), true);
  assert.equal(health.isUnreachable(1_000), false, 'it may be tried');
  const trial = health.open(1_000);
  assert.equal(health.isUnreachable(1_000), true, 'the trial is under way');
  health.close(trial);
  health.recordConnectUnanswered(1_220);
  assert.equal(health.isUnreachable(1_300), true);
  health.recordReached();
  assert.equal(health.isUnreachable(1_300), false);
});

test('a call that was open before does not keep a silent server from being tried', () => {
  const health = new ServerHealth();
  health.open(0);
  health.recordConnectUnanswered(10);
  assert.equal(health.isUnreachable(1_000), false);
});

test('one daemon alone is not believed, two are, and only for a while', () => {
  const health = new ServerHealth();
  health.applyReachNotice(silent('a'), 0);
  health.applyReachNotice(silent('a'), 100);
  assert.equal(health.isUnreachable(100), false);
  health.applyReachNotice(silent('b'), 200);
  assert.equal(health.isUnreachable(200), true);
  assert.equal(health.isUnreachable(1_300), false);
  health.applyReachNotice(silent('c'), 5_000);
  assert.equal(health.isUnreachable(5_000), false, 'the others said so long ago');
});

test('what was found silent here and there is believed, and a server that is back is used at once', () => {
  const health = new ServerHealth();
  health.recordConnectUnanswered(0);
  health.applyReachNotice(silent('a'), 10);
  assert.equal(health.isUnreachable(900), true);
  health.applyReachNotice(back('b'), 910);
  assert.equal(health.isUnreachable(910), false);
  assert.equal(health.isEjected(910), false);
});

test('a relay passes on as many notices of a server as are needed, and news again later', () => {
  const filter = new ReachabilityNoticeFilter();
  const notices = ['a', 'a', 'b', 'c', 'd'].map(silent);
  assert.deepEqual(
    filter.take(notices, 0).map(({ by }) => by),
    ['a', 'b'],
  );
  assert.equal(filter.take([back('a')], 10).length, 1);
  assert.equal(filter.take([silent('c')], 100).length, 0);
  assert.equal(filter.take([silent('c')], 300).length, 1);
});

function engine(id: string, stage: 'prefill' | 'decode'): ServerRecord {
  return {
    id,
    service: 'm',
    address: `${id}:1`,
    zone: 'z',
    slots: 4,
    state: 'ready',
    isSpot: false,
    stage,
  };
}

test('a dark server is no candidate, and the wait for room is that for the next trial', () => {
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  fleet.directory.apply(
    [engine('r', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')],
    [],
  );
  assert.equal(fleet.capacityExpectedInMs('m', 0), undefined);
  fleet.healthOf('d1').recordConnectUnanswered(0);
  for (let failure = 0; failure < 3; failure += 1) fleet.healthOf('d2').recordConnectUnanswered(0);
  const ids = fleet.candidates('m', 100).map(({ id }) => id);
  assert.deepEqual(ids, ['r']);
  const waitMs = fleet.capacityExpectedInMs('m', 100) ?? 0;
  assert.ok(waitMs > 0 && waitMs <= 400, `${waitMs} ms`);
  assert.equal(fleet.isReachable('d2', 100), false);
  fleet.handleReachability({ serverId: 'd2', by: 'b', isReachable: true }, 100);
  assert.deepEqual(
    fleet.candidates('m', 100).map(({ id }) => id),
    ['r', 'd2'],
  );
});
