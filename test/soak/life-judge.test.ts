/** Guards against daemons that do not start, do not stop or end by themselves unseen: the soak judged only exit codes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { endsBeforeCode, type JudgedLives, lifeFaults } from '../../soak/life-judge.js';
import type { DaemonLife, Disturbance, LifeEnd, PortCheck } from '../../soak/record.js';

const BEGIN_MS = 1_000;
const POLL_MS = 100;
const STOP: LifeEnd = { exitCode: 0, signal: null, cause: 'requested' };

function life(fields: Partial<DaemonLife> = {}): DaemonLife {
  return {
    daemon: 'd1',
    incarnation: 1,
    startedMs: 0,
    stopMs: undefined,
    killedMs: undefined,
    endedMs: undefined,
    end: undefined,
    readyMs: polls(BEGIN_MS, 60_000),
    peakResidentBytes: 0,
    ...fields,
  };
}

/** The times at which a daemon was found ready that was so throughout a span. */
function polls(fromMs: number, toMs: number): number[] {
  return Array.from({ length: (toMs - fromMs) / POLL_MS }, (_, index) => fromMs + index * POLL_MS);
}

function disturbance(fields: Partial<Disturbance>): Disturbance {
  return { scope: 'daemon', name: 'd1', fromMs: 0, toMs: 0, isPlanned: false, ...fields };
}

function details(fields: Partial<JudgedLives>): readonly string[] {
  const run: JudgedLives = {
    lives: [],
    portChecks: [],
    falseReadiness: [],
    machineBytes: undefined,
    disturbances: [],
    bounds: { contactMs: 3_000, graceMs: 8_000 },
    beginMs: BEGIN_MS,
    endMs: 60_000,
    ...fields,
  };
  return lifeFaults(run).map(({ detail }) => detail);
}

function faults(lives: readonly DaemonLife[], ...disturbances: readonly Disturbance[]) {
  return details({ lives, disturbances });
}

test('a process that ended by itself is a fault, by a code as well as by a signal', () => {
  const byCode = life({ endedMs: 60_000, end: { exitCode: 1, signal: null, cause: 'own' } });
  const bySignal = life({
    endedMs: 60_000,
    end: { exitCode: null, signal: 'SIGHUP', cause: 'own' },
  });
  assert.deepEqual(faults([byCode, bySignal]), [
    'd1 ended by itself with code 1, 60000 ms after its start',
    'd1 ended by itself by SIGHUP, 60000 ms after its start',
  ]);
});

test('a process that ended before any code of the daemon is counted and no fault', () => {
  const end: LifeEnd = { exitCode: null, signal: 'SIGHUP', cause: 'before-code' };
  const lives = [life({ startedMs: 20_000, endedMs: 20_020, end, readyMs: [] })];
  assert.deepEqual(faults(lives), []);
  assert.equal(endsBeforeCode(lives).length, 1);
  assert.equal(endsBeforeCode([life({ endedMs: 60_000, end: STOP })]).length, 0);
});

test('a daemon that is killed as it has not stopped within its grace period is a fault', () => {
  const ready = { readyMs: polls(BEGIN_MS, 20_000), stopMs: 20_000 };
  const overdue = life({ ...ready, killedMs: 28_000, endedMs: 28_010 });
  assert.deepEqual(faults([overdue]), ['d1, told to stop 20000 ms after its start, did not']);
  assert.deepEqual(faults([life({ ...ready, killedMs: 23_000, endedMs: 23_010 })]), []);
  assert.deepEqual(faults([life({ ...ready, endedMs: 23_010, end: STOP })]), []);
  const frozen = disturbance({ scope: 'frozen', fromMs: 19_000, toMs: 27_000 });
  assert.deepEqual(faults([overdue], frozen), []);
});

test('a daemon that is in touch and not ready is a fault, at its start and later', () => {
  const late = life({ startedMs: 20_000, readyMs: polls(26_200, 60_000) });
  const start = disturbance({ fromMs: 20_000, toMs: 23_000 });
  assert.deepEqual(faults([late], start), ['d1 was not ready for 6200 ms, 200 ms of it in touch']);
  const inTime = life({ startedMs: 20_000, readyMs: polls(25_900, 60_000) });
  assert.deepEqual(faults([inTime], start), []);
  const away = life({ readyMs: [...polls(BEGIN_MS, 30_000), ...polls(34_000, 60_000)] });
  assert.deepEqual(faults([away]), ['d1 was not ready for 4100 ms, 1100 ms of it in touch']);
});

test('a daemon need not be ready within contactMs of a disturbance, nor of the stability of the store', () => {
  const readyMs = [...polls(BEGIN_MS, 30_000), ...polls(37_900, 60_000)];
  const away = life({ readyMs });
  assert.deepEqual(faults([away], disturbance({ fromMs: 32_000, toMs: 35_000 })), []);
  assert.equal(faults([away], disturbance({ name: 'd2', fromMs: 32_000, toMs: 35_000 })).length, 1);
  const store = disturbance({ scope: 'store', name: '', fromMs: 31_000, toMs: 32_000 });
  assert.deepEqual(faults([away], store), []);
  const twice = [
    disturbance({ scope: 'stand-ins', name: '', fromMs: 31_000, toMs: 31_500 }),
    disturbance({ fromMs: 34_000, toMs: 35_000 }),
  ];
  assert.deepEqual(faults([away], ...twice), []);
  assert.equal(faults([away], disturbance({ fromMs: 34_000, toMs: 35_000 })).length, 1);
});

test('a daemon need not be ready from a stop signal on, nor once its process was killed', () => {
  assert.deepEqual(faults([life({ readyMs: polls(BEGIN_MS, 20_000), stopMs: 20_000 })]), []);
  const killed = life({ readyMs: polls(BEGIN_MS, 20_000), killedMs: 20_000, endedMs: 20_005 });
  assert.deepEqual(faults([killed]), []);
});

test('a daemon that does not use one of its ports at the end is a fault', () => {
  const whole: PortCheck = { daemon: 'd1', atMs: 60_000, unused: [] };
  const partial: PortCheck = { daemon: 'd2', atMs: 60_000, unused: ['metrics', 'peers-udp'] };
  assert.deepEqual(details({ portChecks: [whole, partial] }), [
    'd2 does not use its ports for metrics, peers-udp',
  ]);
});

test('a daemon that starts anew, or is disturbed since its start, need not use its ports yet', () => {
  const partial: PortCheck = { daemon: 'd1', atMs: 60_000, unused: ['callers'] };
  const portChecks = [partial];
  const of = (startedMs: number, ...disturbances: readonly Disturbance[]) =>
    details({ lives: [life({ startedMs, stopMs: startedMs })], disturbances, portChecks }).length;
  assert.equal(of(57_500), 0);
  assert.equal(of(56_500), 1);
  assert.equal(of(56_500, disturbance({ fromMs: 56_500, toMs: 57_500 })), 0);
  const late = disturbance({ scope: 'stand-ins', name: '', fromMs: 58_000, toMs: 59_000 });
  assert.equal(of(56_500, late), 0);
});

test('a daemon that is ready while its port for callers is taken is a fault', () => {
  assert.deepEqual(details({ falseReadiness: [{ daemon: 'd1', atMs: 20_000 }] }), [
    'd1 was ready while its port for callers was taken',
  ]);
});

// Guards against a soak that misses a process which the system of a machine with less memory would have ended.
test('a process that took more memory than its machine has is a fault, also while it was disturbed', () => {
  const machineBytes = 350 * 1_048_576;
  const over = life({ peakResidentBytes: machineBytes + 1 });
  const disturbances = [disturbance({ toMs: 60_000 })];
  assert.deepEqual(details({ lives: [over], machineBytes, disturbances }), [
    'd1 took 351 MB of 350',
  ]);
  assert.deepEqual(
    details({ lives: [life({ peakResidentBytes: machineBytes })], machineBytes }),
    [],
  );
  assert.deepEqual(details({ lives: [over] }), []);
});
