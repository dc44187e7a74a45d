/** Which daemons ask engines for their cache news. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { RosterNewsDuty } from '../../src/shell/gateway/roster-news-duty.js';
import { ManualTimers } from './support/manual-timers.js';

const MAX_NEWS_CALLS = 12;
const ENGINE = { service: 'reader' };

function dutyIn(roster: { readonly hasList: boolean; readonly daemonCount: number }) {
  const timers = new ManualTimers();
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  const engine = {
    slots: 8,
    kvTokens: 1,
    kvTokenBytes: 1,
    linkMbps: 1,
    roleSwitchMs: 1,
    maxNewsCalls: MAX_NEWS_CALLS,
  };
  const services = new Map([['reader', { name: 'reader', engine, scaling: undefined }]]);
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  fleet.takeConfiguration({ version: 1, routes: [], tenants: undefined, services, limits }, 0);
  return { timers, duty: new RosterNewsDuty({ roster, fleet, hasPeers: true, timers }) };
}

test('all daemons ask every engine as long as it takes the calls of all', () => {
  const { duty } = dutyIn({ hasList: true, daemonCount: MAX_NEWS_CALLS });
  assert.equal(duty.isWatcher(ENGINE), true);
});

test('in a larger fleet nobody asks', () => {
  const { duty } = dutyIn({ hasList: true, daemonCount: MAX_NEWS_CALLS + 1 });
  assert.equal(duty.isWatcher(ENGINE), false);
});

test('a daemon that has no list of the others asks once it has waited for one', () => {
  const { duty, timers } = dutyIn({ hasList: false, daemonCount: 1 });
  assert.equal(duty.isWatcher(ENGINE), false);
  timers.advance(4_001);
  assert.equal(duty.isWatcher(ENGINE), true);
});
