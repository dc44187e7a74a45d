/** A short shift on a tiny fleet of processes, and the detection of role changes from reports. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { test } from 'node:test';
import { createEngineServer } from '../../src/lab/engine/index.js';
import { postJson } from '../../src/lab/fleet/http-json.js';
import { loadFleet, RunningFleet, runShift, violations } from '../../src/lab/fleet/index.js';
import { RoleChangeWatcher } from '../../src/lab/fleet/role-change-watcher.js';
import { withScaledDurations } from '../../src/lab/workload/index.js';

const FLEET = `
name: tiny
zones: [leiden-a]
platform: { machineLagMs: 0, weights: [labels@2024.1, labels/dutch@2024.1, labels/latin@2024.1] }
engineDefaults:
  models: ["labels@2024.1"]
  adapters: ["labels/dutch@2024.1", "labels/latin@2024.1"]
engines: [{ name: label-1, zone: leiden-a }]
webs: [{ name: viewer-1, zone: leiden-a, service: viewer }]
daemons: [{ name: daemon-1, zone: leiden-a }]
configuration: ${resolve('examples/configurations/scanhuis.yaml')}
workload: ${resolve('examples/workloads/scanhuis-shift.yaml')}
`;
const DURATION_FACTOR = 0.02;

test('a fleet of processes finishes all requests of a shift and stops cleanly', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'threadfork-tiny-'));
  const path = join(folder, 'tiny.yaml');
  writeFileSync(path, FLEET);
  const fleet = loadFleet(path);
  rmSync(folder, { recursive: true });
  const { signal } = new AbortController();
  const running = new RunningFleet(fleet, { logFolder: null, signal, onStep: () => undefined });
  try {
    await running.start();
    const workload = withScaledDurations(fleet.workload, DURATION_FACTOR);
    const progress = { onProgress: () => undefined, progressEveryMs: 1_000 };
    const report = await runShift(running, { workload, maxRetries: 0, signal, ...progress });
    assert.ok(report.load.sent > 5);
    assert.equal(report.load.outcomes.finished, report.load.sent, JSON.stringify(report));
    assert.deepEqual(violations(report), []);
  } finally {
    await running.stop();
  }
  assert.deepEqual(running.problems, []);
});

test('a role change in the reports of an engine is recorded once', async () => {
  const engine = await createEngineServer({
    listen: { address: '127.0.0.1', port: 0 },
    name: 'e1',
    role: 'mixed',
    models: [],
    accelerator: 'new',
    seed: 1,
    roleChangeMs: 0,
  });
  const { endpoint, model } = engine;
  const watch = new RoleChangeWatcher([{ name: 'e1', endpoint }]);
  await watch.firstPoll;
  const order = {
    id: 'o1',
    engine: 'e1',
    boot: model.boot,
    fence: { epoch: 1, sequence: 1 },
    action: { kind: 'set-role', role: 'decode' },
    onlyIfIdle: true,
  };
  assert.equal((await postJson(endpoint, '/control/orders', order)).status, 200);
  await watch.stop();
  await engine.close();
  const changes = watch.changes.map(({ engine: name, from, to }) => ({ name, from, to }));
  assert.deepEqual(changes, [{ name: 'e1', from: 'mixed', to: 'decode' }]);
});
