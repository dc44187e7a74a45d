/** The split of engines between stages follows the work, one engine at a time and not for small gains. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type EngineStage,
  planDecodeRecovery,
  planStageChanges,
  type ServerRecord,
  type StageNeed,
} from '../../src/core/gateway/index.js';

function engines(total: number, prefill: number): ServerRecord[] {
  return Array.from({ length: total }, (_, index) => ({
    id: `e${index}`,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 8,
    state: 'ready',
    isSpot: false,
    stage: index < prefill ? 'prefill' : 'decode',
  }));
}

function need(prefillEngines: number, decodeEngines: number, requests = 100): StageNeed {
  return { prefillEngines, decodeEngines, requests };
}

const busyOf = (id: string) => (id === 'e5' ? 0 : 1);

/** Applies the planned switches until there are none, and returns the number of prefill engines. */
function settle(total: number, prefill: number, wanted: StageNeed): number {
  let fleet = engines(total, prefill);
  for (let moves = 0; moves <= total; moves += 1) {
    const change = planStageChanges({
      engines: fleet,
      need: wanted,
      startingEngines: 0,
      busyOf,
    })[0];
    if (change === undefined) return fleet.filter(({ stage }) => stage === 'prefill').length;
    const stage: EngineStage = change.stage;
    fleet = fleet.map((engine) => (engine.id === change.engine.id ? { ...engine, stage } : engine));
  }
  throw new Error('the split did not settle');
}

test('the least busy engine is switched to the overloaded stage', () => {
  const change = planStageChanges({
    engines: engines(8, 2),
    need: need(2, 0.2),
    startingEngines: 0,
    busyOf,
  })[0];
  assert.deepEqual([change?.engine.id, change?.stage, change?.wantedPrefill], ['e5', 'prefill', 5]);
});

test('nearly all engines become prefill engines when nearly all work is prefill, but three of many stay decode', () => {
  assert.equal(settle(8, 3, need(6, 0.05)), 5);
  assert.ok(settle(40, 20, need(60, 0.05)) <= 37);
  assert.equal(settle(5, 2, need(6, 0.05)), 3);
  assert.equal(settle(3, 1, need(2, 0.05)), 2);
});

test('the split follows when the mix of work reverses', () => {
  assert.equal(settle(8, 6, need(0.2, 5)), 2);
});

test('no engine is switched for few requests, with capacity to spare, for a small relief, or in a fleet of two', () => {
  const plan = (total: number, prefill: number, wanted: StageNeed) =>
    planStageChanges({
      engines: engines(total, prefill),
      need: wanted,
      startingEngines: 0,
      busyOf,
    })[0];
  assert.equal(plan(8, 2, need(6, 0.2, 5)), undefined);
  assert.equal(plan(8, 2, need(0.6, 0.2)), undefined);
  assert.equal(plan(13, 8, need(4, 4)), undefined);
  assert.equal(plan(2, 1, need(6, 0.2)), undefined);
});

test('for any work the split settles and each stage keeps an engine', () => {
  const work = fc.double({ min: 0, max: 60, noNaN: true });
  fc.assert(
    fc.property(fc.integer({ min: 3, max: 41 }), fc.nat(40), work, work, (total, from, a, b) => {
      const prefill = 1 + (from % (total - 1));
      const settled = settle(total, prefill, need(a, b));
      assert.ok(settled >= 1 && settled <= total - 1);
    }),
    { seed: 5, numRuns: 500 },
  );
});

test('a mix of work that varies within a seventh around its mean causes at most one switch', () => {
  const variation = fc.array(fc.double({ min: 0.93, max: 1.07, noNaN: true }), { minLength: 40 });
  fc.assert(
    fc.property(variation, (factors) => {
      let fleet = engines(8, settle(8, 3, need(2.4, 0.8)));
      let moves = 0;
      for (const factor of factors) {
        const wanted = need(2.4 * factor, 0.8 / factor);
        const change = planStageChanges({
          engines: fleet,
          need: wanted,
          startingEngines: 0,
          busyOf,
        })[0];
        if (change === undefined) continue;
        moves += 1;
        const { stage } = change;
        fleet = fleet.map((one) => (one.id === change.engine.id ? { ...one, stage } : one));
      }
      assert.ok(moves <= 1, `${moves} moves`);
    }),
    { seed: 6, numRuns: 200 },
  );
});

const allIdle = { startingEngines: 0, busyOf: () => 0 };

test('with the settled split, a decode engine is left after the loss of any two engines', () => {
  for (const total of [8, 13, 40, 55]) {
    const decodeEngines = total - settle(total, 4, need(total, 0.05));
    assert.ok(decodeEngines - 2 >= 1, `${decodeEngines} of ${total} generate`);
  }
});

test('after a loss no engine is switched while many replacements are starting', () => {
  const left = engines(14, 5);
  const plan = (startingEngines: number) =>
    planStageChanges({ engines: left, need: need(4.6, 2), startingEngines, busyOf: () => 0 });
  assert.deepEqual(plan(28), []);
  assert.deepEqual(plan(2), []);
  assert.ok(plan(1).length > 0, 'one starting engine does not prevent a switch');
  assert.ok(plan(0).length > 0);
});

test('in a small fleet each stage keeps an engine, whatever the work', () => {
  for (let prefill = 1; prefill < 5; prefill += 1) {
    const left = engines(5, prefill);
    for (const wanted of [need(40, 0.1), need(0.1, 40)]) {
      const moved = planStageChanges({ engines: left, need: wanted, ...allIdle });
      const from = left.filter(({ stage }) => stage !== moved[0]?.stage).length;
      assert.ok(moved.length < from, `${moved.length} of ${from}`);
    }
  }
});

test('an engine is switched in the zone with the most engines of its stage, so that the stage survives the loss of a zone', () => {
  const zones = ['a', 'a', 'b', 'b', 'b', 'c', 'c', 'c'];
  const fleet = engines(8, 1).map((engine, index) => ({ ...engine, zone: zones[index] ?? '' }));
  const change = planStageChanges({ engines: fleet, need: need(6, 0.05), ...allIdle })[0];
  assert.ok(change !== undefined);
  assert.ok(['b', 'c'].includes(change.engine.zone));
});

test('when no decode engine is reachable, several prefill engines are switched at once', () => {
  const fleet = engines(8, 6);
  const lost = new Set(['e6', 'e7']);
  const rescue = (isReachable: (id: string) => boolean) =>
    planDecodeRecovery({ engines: fleet, isReachable, ...allIdle });
  const changes = rescue((id) => !lost.has(id));
  assert.equal(changes.length, 3);
  assert.equal(new Set(changes.map(({ engine }) => engine.id)).size, 3);
  assert.ok(changes.every(({ engine, stage }) => stage === 'decode' && !lost.has(engine.id)));
  assert.deepEqual(
    rescue(() => true),
    [],
  );
  assert.deepEqual(
    rescue((id) => id !== 'e7'),
    [],
  );
  assert.deepEqual(
    rescue(() => false),
    [],
    'unreachable engines cannot be ordered',
  );
  const crashed = fleet.filter(({ id }) => !lost.has(id));
  assert.equal(
    planDecodeRecovery({ engines: crashed, isReachable: () => true, ...allIdle }).length,
    3,
  );
});

test('in a large fleet several engines are switched at once, in a small one a single engine', () => {
  const plan = (prefill: number) =>
    planStageChanges({ engines: engines(44, prefill), need: need(30, 2), ...allIdle });
  assert.equal(plan(10).length, 4);
  assert.equal(new Set(plan(10).map(({ engine }) => engine.id)).size, 4);
  const few = planStageChanges({
    engines: engines(8, 2),
    need: need(2, 0.2),
    startingEngines: 0,
    busyOf,
  });
  assert.equal(few.length, 1);
});

/** Engines of two software versions; of the older one a single engine decodes. */
function enginesDuringRelease(): ServerRecord[] {
  return engines(8, 2).map((engine, index) => ({
    ...engine,
    softwareVersion: index <= 2 ? 'v1' : 'v2',
  }));
}

test('the only decode engine of a software version is not switched, as streams go on only at their version', () => {
  const isIdle = (id: string) => (id === 'e2' ? 0 : 1);
  const changes = planStageChanges({
    engines: enginesDuringRelease(),
    need: need(2, 0.2),
    startingEngines: 0,
    busyOf: isIdle,
  });
  assert.equal(changes.length, 1);
  assert.notEqual(changes[0]?.engine.id, 'e2');
  const pairs = engines(40, 2).map((engine, index) => ({
    ...engine,
    softwareVersion: `v${Math.floor(index / 2)}`,
  }));
  const several = planStageChanges({ engines: pairs, need: need(30, 2), ...allIdle });
  assert.equal(several.length, 4);
  assert.equal(new Set(several.map(({ engine }) => engine.softwareVersion)).size, 4);
});
