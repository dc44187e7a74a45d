/** Guards against memory for messages with ever new names, as a faulty daemon or a stranger may send them without end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeerLoads, StageNotices } from '../../src/core/gateway/index.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { SERVER } from './support/server-record.js';

const NAMES = 20_000;
const NOW_MS = 1_000;
/** Several times the daemons and zones of the largest fleet that is designed for. */
const MAX_DAEMONS = 4_096;
const MAX_ZONES = 256;
const MAX_ENGINES = 8_192;
const NOTHING = { reads: [], reach: [], demand: [] };
const WORK = { engineId: 'e-1', running: 1, pendingMs: 0, lateMs: 0 };

test('reports of ever new daemons are kept in a bounded number, the newest ones', () => {
  const loads = new PeerLoads();
  for (let number = 0; number < NAMES; number += 1) {
    const daemon = `front-${number}`;
    const work = number === NAMES - 1 ? [WORK] : [];
    loads.applyReport({ daemon, incarnation: 1, sequence: 1, work, ...NOTHING }, NOW_MS);
  }
  assert.ok(loads.count(NOW_MS) <= MAX_DAEMONS, `${loads.count(NOW_MS)} reports`);
  assert.equal(loads.running('e-1', NOW_MS), 1);
});

test('sums of ever new zones are kept in a bounded number, the newest ones', () => {
  const loads = new PeerLoads();
  for (let number = 0; number < NAMES; number += 1) {
    const head = { relay: 'front-1', incarnation: 1, sequence: 1, isComplete: true };
    loads.applyZoneSums(`zone-${number}`, { ...head, work: [WORK], ...NOTHING }, NOW_MS);
  }
  const running = loads.running('e-1', NOW_MS);
  assert.ok(running > 0 && running <= MAX_ZONES, `${running} zones`);
});

test('notices that ever new engines change their stage are kept in a bounded number, the newest ones', () => {
  const notices = new StageNotices();
  const engines = Array.from({ length: NAMES }, (_, number) => ({ ...SERVER, id: `e-${number}` }));
  for (const { id } of engines) {
    notices.apply({ engineId: id, stage: 'prefill', phase: 'changing' }, NOW_MS);
  }
  const changing = NAMES - notices.usable(engines, NOW_MS).length;
  assert.ok(changing > 0 && changing <= MAX_ENGINES, `${changing} notices`);
  assert.deepEqual(notices.usable(engines.slice(-1), NOW_MS), []);
});

test('reads of parts at engines that are not listed are not kept', () => {
  const fleet = new FleetView({ ratio: 1, slack: 1 });
  const part = { id: 'aa', tokens: 100 };
  for (let number = 0; number < NAMES; number += 1) {
    fleet.handleRead({ engineId: `e-${number}`, part, readyInMs: 1_000 }, NOW_MS);
  }
  assert.equal(fleet.prefixIndex.size, 0);
});
