/** How daemons' work reaches a pool's planner, and how its plan reaches the controller. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EMPTY_CONFIGURATION } from '../../src/core/configuration/document.js';
import { DemandMeter } from '../../src/core/daemon/demand-meter.js';
import {
  evaluatePlans,
  INITIAL_ROLE_PLANNING,
  plannedRoles,
  recordDemand,
} from '../../src/core/daemon/role-planning.js';
import type { EngineView } from '../../src/core/registry/backend.js';
import type { RequestDescription, RequestNotice } from '../../src/core/requests/index.js';
import { initialRolePlannerState } from '../../src/core/roles/index.js';

const DESCRIPTION = { id: 'r1' } as RequestDescription;

function started(backend: string): RequestNotice {
  return { kind: 'attempt-started', description: DESCRIPTION, attempt: 'r1.1', backend };
}

function ended(result: 'answered' | 'unknown'): RequestNotice {
  const counts = { attempts: 1, promptTokens: 30, outputTokens: 7 };
  return { kind: 'request-ended', description: DESCRIPTION, result, ...counts };
}

test('work counts once, for the pool of the engine that answered, until it is told', () => {
  const meter = new DemandMeter();
  const poolOf = (backend: string) => (backend === 'viewer' ? null : `pool-of-${backend}`);
  meter.recordNotice(started('e1'), poolOf);
  meter.recordNotice(started('e2'), poolOf);
  meter.recordNotice(ended('answered'), poolOf);
  meter.recordNotice(ended('answered'), poolOf);
  meter.recordNotice(started('e1'), poolOf);
  meter.recordNotice(ended('unknown'), poolOf);
  meter.recordNotice(started('viewer'), poolOf);
  meter.recordNotice(ended('answered'), poolOf);
  const expected = { requests: 1, promptTokens: 30, outputTokens: 7 };
  assert.deepEqual([...meter.takeAndReset()], [['pool-of-e2', expected]]);
  assert.equal(meter.takeAndReset().size, 0);
});

test('what all daemons tell is summed, and forgotten once it was thought over', () => {
  const told = { requests: 2, promptTokens: 100, outputTokens: 10 };
  const heard = recordDemand(recordDemand(INITIAL_ROLE_PLANNING, 'p', told), 'p', told);
  assert.deepEqual(heard.receivedDemand.get('p'), {
    requests: 4,
    promptTokens: 200,
    outputTokens: 20,
  });
  const held = [{ pool: 'p', engines: [] }];
  const { document } = EMPTY_CONFIGURATION;
  const { planning } = evaluatePlans(heard, held, document, { now: 50_000, entropy: 0 });
  assert.equal(planning.receivedDemand.size, 0);
  assert.ok(planning.planners.get('p')?.demand !== null, 'the planner heard of the work');
  assert.equal(planning.nextAt, 60_000);
  const lost = evaluatePlans(planning, [], document, { now: 60_000, entropy: 0 });
  assert.equal(lost.planning.planners.size, 0, 'the planner of a pool that is not held is kept');
});

test('a plan holds for the life of the engine that it was made for', () => {
  const plan = { engine: 'e1', role: 'decode', boot: 'b1', reason: 'gain' } as const;
  const planner = { ...initialRolePlannerState(), planned: new Map([['e1', plan]]) };
  const planning = { ...INITIAL_ROLE_PLANNING, planners: new Map([['p', planner]]) };
  const view = (boot: string) =>
    ({ machine: { name: 'e1' }, report: { boot } }) as unknown as EngineView;
  assert.deepEqual([...plannedRoles(planning, 'p', [view('b1')])], [['e1', plan]]);
  assert.equal(plannedRoles(planning, 'p', [view('b2')]).size, 0);
  assert.equal(plannedRoles(planning, 'other', [view('b1')]).size, 0);
});
